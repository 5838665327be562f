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
 * A plain service. A request counts as run from the moment at which its whole body has
 * arrived and it has started, whatever becomes of its answer. Fault {@code lost_answer}
 * runs requests and closes their connection.
 */
public final class PlainStandin implements Standin {

	private final PlainSettings settings;

	private final RunLog log;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private int running;

	private long incarnation = 1;

	private long startedNanos = System.nanoTime();

	private long crashes;

	private @Nullable StandinServer server;

	/**
	 * Creates a service.
	 * @param settings the settings
	 */
	public PlainStandin(PlainSettings settings) {
		this.settings = settings;
		this.log = new RunLog(settings.failureDomain());
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("lost_answer", "cold");
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
	public BodySink open(Call call) {
		return BodySink.whole((body) -> {
			if (this.settings.capacity() > 0 && this.running >= this.settings.capacity()) {
				this.waiting.add(() -> run(call, body));
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
		long coldFor = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
		boolean cold = this.settings.coldLimit() > 0 && coldFor < this.settings.coldMillis();
		this.log
			.add(new RunLog.Entry(requestId, call.header("Idempotency-Key").orElse(""), digest, call.arrivedMillis(),
					System.currentTimeMillis(), "", "", this.incarnation, this.running, cold, coldFor));
		if (cold && this.running > this.settings.coldLimit()) {
			this.crashes++;
			kill();
			server().dropConnections();
			return;
		}
		if (server().faults().tryStrike("lost_answer")) {
			this.running--;
			call.drop();
			return;
		}
		long before = this.incarnation;
		server().loop()
			.schedule(() -> finish(call, requestId, digest, before), this.settings.timeMillis(), TimeUnit.MILLISECONDS);
	}

	private void finish(Call call, String requestId, String digest, long before) {
		if (before != this.incarnation) {
			return;
		}
		if (server().faults().isOn("freeze")) {
			server().loop().schedule(() -> finish(call, requestId, digest, before), 20, TimeUnit.MILLISECONDS);
			return;
		}
		this.running--;
		byte[] body = answer(call.method(), call.path(), requestId, digest).getBytes(StandardCharsets.UTF_8);
		call.answer(200, "application/json", body, Map.of());
		if (!this.waiting.isEmpty()) {
			this.waiting.remove().run();
		}
	}

	/**
	 * Returns the answer to a request, by which tests check answers.
	 * @param method the method
	 * @param path the path without the query
	 * @param requestId the request id that the service got
	 * @param bodyDigest digest of the request body
	 * @return the body of the answer
	 */
	public static String answer(String method, String path, String requestId, String bodyDigest) {
		return JsonBody.object()
			.put("method", method)
			.put("path", path)
			.put("request_id", requestId)
			.put("body_digest", bodyDigest)
			.toString();
	}

	/**
	 * Returns the ledger, for use in the same process.
	 * @return entries so far
	 */
	public List<RunLog.Entry> runs() {
		return server().ask(this.log::entries);
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = JsonBody.object();
		node.put("service", this.settings.service());
		node.put("failure_domain", this.settings.failureDomain());
		node.put("incarnation", this.incarnation);
		node.put("running", this.running);
		node.put("crashes", this.crashes);
		this.log.write(node);
		return node;
	}

	@Override
	public void kill() {
		this.incarnation++;
		this.running = 0;
		this.waiting.clear();
		this.startedNanos = System.nanoTime();
	}

	@Override
	public void faultSet(ObjectNode fault) {
		if (fault.path("kind").asText().equals("cold")) {
			this.startedNanos = System.nanoTime();
		}
	}

}
