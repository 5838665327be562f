package org.baobabknot.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Makes requests of the two kinds that callers send: completions with a known right
 * answer, and orders that must run at most once. Thread-safe.
 */
public final class Workload {

	/** Group of completions answered at once. */
	public static final String COMPLETION = "completion";

	/** Group of completions answered as a stream of events. */
	public static final String STREAM = "stream";

	/** Group of orders with an idempotency key. */
	public static final String KEYED_ORDER = "keyed-order";

	/** Group of orders without an idempotency key. */
	public static final String ORDER = "order";

	private final String run;

	private final List<String> workspaces;

	private final Map<String, String> digests;

	private final RandomGenerator random;

	private final AtomicLong number = new AtomicLong();

	/**
	 * Creates a workload.
	 * @param run distinguishes the ids of this workload from those of others
	 * @param workspaces the workspaces; the first ones send more than the later ones
	 * @param digests digests of the whole bytes by model version; may grow during the run
	 * @param random source of the choices, used under a lock
	 */
	public Workload(String run, List<String> workspaces, Map<String, String> digests, RandomGenerator random) {
		this.run = run;
		this.workspaces = List.copyOf(workspaces);
		this.digests = digests;
		this.random = random;
	}

	/**
	 * Returns a source of completions.
	 * @param service the model service
	 * @param tokens number of tokens of an answer
	 * @param streamShare part of the requests that ask for a stream, from 0 to 1
	 * @return the source
	 */
	public Supplier<LoadRequest> completions(String service, int tokens, double streamShare) {
		return () -> completion(service, tokens, next(1000) < streamShare * 1000);
	}

	private LoadRequest completion(String service, int tokens, boolean stream) {
		String id = this.run + "-" + this.number.incrementAndGet();
		// A quarter of the prompts share their beginning, as menus of one house do.
		String prompt = ((next(4) == 0) ? "house " + next(20) + ": " : "") + "text " + id;
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("prompt", prompt).put("max_tokens", tokens).put("stream", stream);
		return LoadRequest
			.post(id, stream ? STREAM : COMPLETION, "/" + service + "/v1/completions", body.toString(),
					new CompletionCheck(this.digests, prompt, tokens, stream))
			.with("X-Workspace", workspace());
	}

	/**
	 * Returns a source of orders.
	 * @param service the ordering service
	 * @param path path of the orders at the target
	 * @param keyedShare part of the orders with an idempotency key, from 0 to 1
	 * @return the source
	 */
	public Supplier<LoadRequest> orders(String service, String path, double keyedShare) {
		return () -> order(service, path, next(1000) < keyedShare * 1000);
	}

	private LoadRequest order(String service, String path, boolean keyed) {
		String id = this.run + "-" + this.number.incrementAndGet();
		String json = JsonNodeFactory.instance.objectNode().put("order", id).put("cards", 1 + next(40)).toString();
		LoadRequest request = LoadRequest
			.post(id, keyed ? KEYED_ORDER : ORDER, "/" + service + path, json, AnswerCheck.NONE)
			.with("X-Workspace", workspace());
		return keyed ? request.with("Idempotency-Key", "key-" + id) : request;
	}

	private String workspace() {
		// The smaller of two choices: the first workspaces are the large ones.
		return this.workspaces.get(Math.min(next(this.workspaces.size()), next(this.workspaces.size())));
	}

	private int next(int bound) {
		synchronized (this.random) {
			return this.random.nextInt(bound);
		}
	}

}
