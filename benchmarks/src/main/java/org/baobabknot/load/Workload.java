package org.baobabknot.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Creates the requests of two kinds of callers: completions whose correct response is
 * known, and orders that must run at most once. Thread-safe.
 */
public final class Workload {

	/** Group of completions with a single JSON response. */
	public static final String COMPLETION = "completion";

	/** Group of completions with a response as a stream of events. */
	public static final String STREAM = "stream";

	/** Group of orders with an idempotency key. */
	public static final String KEYED_ORDER = "keyed-order";

	/** Group of orders without an idempotency key. */
	public static final String ORDER = "order";

	private final String idPrefix;

	private final List<String> workspaces;

	private final Map<String, String> digestsByVersion;

	private final RandomGenerator random;

	private final AtomicLong lastNumber = new AtomicLong();

	/**
	 * Creates a workload.
	 * @param idPrefix prefix of the request ids, distinct from that of other workloads
	 * @param workspaces the workspaces; earlier ones send more requests than later ones
	 * @param digestsByVersion digests of the complete model by version; may grow during
	 * the run
	 * @param random source of the random choices, used under a lock
	 */
	public Workload(String idPrefix, List<String> workspaces, Map<String, String> digestsByVersion,
			RandomGenerator random) {
		this.idPrefix = idPrefix;
		this.workspaces = List.copyOf(workspaces);
		this.digestsByVersion = digestsByVersion;
		this.random = random;
	}

	/**
	 * Returns a source of completions.
	 * @param service the model service
	 * @param tokens number of tokens in a response
	 * @param streamRatio ratio of requests for a stream, from 0 to 1
	 * @return the source
	 */
	public Supplier<LoadRequest> completions(String service, int tokens, double streamRatio) {
		return () -> newCompletion(service, tokens, nextInt(1000) < streamRatio * 1000);
	}

	private LoadRequest newCompletion(String service, int tokens, boolean stream) {
		String id = this.idPrefix + "-" + this.lastNumber.incrementAndGet();
		// A quarter of the prompts start with one of 20 shared prefixes, like menus of
		// the same restaurant.
		String prompt = ((nextInt(4) == 0) ? "house " + nextInt(20) + ": " : "") + "text " + id;
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("prompt", prompt).put("max_tokens", tokens).put("stream", stream);
		return LoadRequest
			.post(id, stream ? STREAM : COMPLETION, "/" + service + "/v1/completions", body.toString(),
					new CompletionCheck(this.digestsByVersion, prompt, tokens, stream))
			.withHeader("X-Workspace", chooseWorkspace());
	}

	/**
	 * Returns a source of orders.
	 * @param service the ordering service
	 * @param path path of the orders at the target
	 * @param keyedRatio ratio of orders with an idempotency key, from 0 to 1
	 * @return the source
	 */
	public Supplier<LoadRequest> orders(String service, String path, double keyedRatio) {
		return () -> newOrder(service, path, nextInt(1000) < keyedRatio * 1000);
	}

	private LoadRequest newOrder(String service, String path, boolean keyed) {
		String id = this.idPrefix + "-" + this.lastNumber.incrementAndGet();
		String json = JsonNodeFactory.instance.objectNode().put("order", id).put("cards", 1 + nextInt(40)).toString();
		LoadRequest request = LoadRequest
			.post(id, keyed ? KEYED_ORDER : ORDER, "/" + service + path, json, ResponseCheck.NONE)
			.withHeader("X-Workspace", chooseWorkspace());
		return keyed ? request.withHeader("Idempotency-Key", "key-" + id) : request;
	}

	private String chooseWorkspace() {
		// The minimum of two random indexes favours the first workspaces, which are the
		// large ones.
		return this.workspaces.get(Math.min(nextInt(this.workspaces.size()), nextInt(this.workspaces.size())));
	}

	private int nextInt(int bound) {
		synchronized (this.random) {
			return this.random.nextInt(bound);
		}
	}

}
