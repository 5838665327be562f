package org.baobabknot.standin.plain;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.BodySink;
import org.baobabknot.standin.Call;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.RunLog;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.weights.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for a plain service. A request counts as run as soon as its complete body has
 * arrived and it has started, even if its response is lost. Fault {@code lost_answer}
 * runs requests and closes their connections without a response; {@code cold} starts a
 * new cold period; {@code limit} states in responses that the service takes
 * {@code per_second} requests.
 */
public final class PlainStandin implements Standin {

	private final PlainSettings settings;

	private final RunLog runLog;

	private final Deque<Runnable> queued = new ArrayDeque<>();

	private String statedLimit = "";

	private int running;

	private long incarnation = 1;

	private long coldSinceNanos = System.nanoTime();

	private long crashes;

	private @Nullable StandinServer server;

	/**
	 * Creates a service.
	 * @param settings the settings
	 */
	public PlainStandin(PlainSettings settings) {
		this.settings = settings;
		this.runLog = new RunLog(settings.failureDomain());
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("lost_answer", "cold", "limit");
	}

	@Override
	public void attach(StandinServer server) {
		this.server = server;
	}

	private StandinServer server() {
		if (this.server == null) {
			throw new IllegalStateException("service is not attached");
		}
		return this.server;
	}

	@Override
	public BodySink handleCall(Call call) {
		return BodySink.collecting((body) -> {
			if (this.settings.capacity() > 0 && this.running >= this.settings.capacity()) {
				this.queued.add(() -> run(call, body));
			}
			else {
				run(call, body);
			}
		});
	}

	private void run(Call call, byte[] body) {
		this.running++;
		String requestId = call.header("X-Request-Id").orElse("");
		String digest = Digests.of(body);
		long coldForMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.coldSinceNanos);
		boolean cold = this.settings.coldLimit() > 0 && coldForMillis < this.settings.coldMillis();
		this.runLog
			.add(new RunLog.Entry(requestId, call.header("Idempotency-Key").orElse(""), digest, call.arrivalMillis(),
					System.currentTimeMillis(), "", "", this.incarnation, this.running, cold, coldForMillis));
		if (cold && this.running > this.settings.coldLimit()) {
			this.crashes++;
			kill();
			server().dropConnections();
			return;
		}
		if (server().faults().tryTrigger("lost_answer")) {
			this.running--;
			call.closeConnection();
			return;
		}
		long startIncarnation = this.incarnation;
		server().loop()
			.schedule(() -> finish(call, requestId, digest, startIncarnation), this.settings.requestMillis(),
					TimeUnit.MILLISECONDS);
	}

	private void finish(Call call, String requestId, String digest, long startIncarnation) {
		if (startIncarnation != this.incarnation) {
			return;
		}
		if (server().faults().isActive("freeze")) {
			server().loop()
				.schedule(() -> finish(call, requestId, digest, startIncarnation), 20, TimeUnit.MILLISECONDS);
			return;
		}
		this.running--;
		byte[] body = responseBody(call.method(), call.path(), requestId, digest).getBytes(StandardCharsets.UTF_8);
		call.respond(200, "application/json", body,
				(server().faults().isActive("limit")) ? Map.of("X-Request-Limit", this.statedLimit) : Map.of());
		if (!this.queued.isEmpty()) {
			this.queued.remove().run();
		}
	}

	/**
	 * Returns the body of the response to a request. Tests use it to check responses.
	 * @param method the method
	 * @param path the path without the query
	 * @param requestId the request id that the service received
	 * @param bodyDigest digest of the request body
	 * @return the response body
	 */
	public static String responseBody(String method, String path, String requestId, String bodyDigest) {
		return JsonBody.object()
			.put("method", method)
			.put("path", path)
			.put("request_id", requestId)
			.put("body_digest", bodyDigest)
			.toString();
	}

	/**
	 * Returns the log of requests; for callers in the same process.
	 * @return entries so far
	 */
	public List<RunLog.Entry> runs() {
		return server().callOnLoop(this.runLog::entries);
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = JsonBody.object();
		node.put("service", this.settings.service());
		node.put("failure_domain", this.settings.failureDomain());
		node.put("incarnation", this.incarnation);
		node.put("running", this.running);
		node.put("crashes", this.crashes);
		this.runLog.write(node);
		return node;
	}

	@Override
	public void kill() {
		this.incarnation++;
		this.running = 0;
		this.queued.clear();
		this.coldSinceNanos = System.nanoTime();
	}

	@Override
	public void onFaultActivated(ObjectNode fault) {
		if (fault.path("kind").asText().equals("cold")) {
			this.coldSinceNanos = System.nanoTime();
		}
		if (fault.path("kind").asText().equals("limit")) {
			this.statedLimit = fault.path("per_second").asText();
		}
	}

}
