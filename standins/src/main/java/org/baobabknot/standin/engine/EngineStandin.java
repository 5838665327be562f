package org.baobabknot.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import org.baobabknot.standin.BodySink;
import org.baobabknot.standin.Call;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.RunLog;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.weights.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for an engine. Additional faults: {@code cold} makes the engine cold
 * ({@code "drop": true} also closes its connections and changes the incarnation),
 * {@code slow} with {@code factor} multiplies the time per token, {@code crash} has the
 * same effect as more requests than the cold limit while the engine is cold.
 */
public final class EngineStandin implements Standin {

	private final EngineSettings settings;

	private final RunLog runLog;

	private final EngineHealth health;

	private final Batch batch;

	private LoadedWeights loaded = LoadedWeights.NONE;

	private boolean loading;

	private final LoadSpans loadSpans = new LoadSpans();

	private long completedLoads;

	private long refusedLoads;

	private long crashes;

	private long highestFence;

	private @Nullable StandinServer server;

	/**
	 * Creates an engine without weights.
	 * @param settings the settings
	 */
	public EngineStandin(EngineSettings settings) {
		this.settings = settings;
		this.runLog = new RunLog(settings.failureDomain());
		this.health = new EngineHealth(settings.coldMillis());
		this.batch = new Batch(settings, this::tryStart);
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("cold", "crash");
	}

	@Override
	public void attach(StandinServer server) {
		this.server = server;
		this.batch.attach(server);
	}

	private StandinServer server() {
		if (this.server == null) {
			throw new IllegalStateException("engine is not attached");
		}
		return this.server;
	}

	/**
	 * Sets the loaded weights; for callers in the same process, before requests are sent.
	 * @param version the version
	 * @param digest the digest
	 * @param cold whether the engine is cold afterwards
	 */
	public void preload(String version, String digest, boolean cold) {
		server().callOnLoop(() -> {
			this.loaded = new LoadedWeights(version, digest);
			if (cold) {
				this.health.setCold();
			}
			else {
				this.health.setWarm();
			}
			return null;
		});
	}

	@Override
	public BodySink handleCall(Call call) {
		List<String> path = call.segments();
		String route = call.method() + " " + String.join("/", path.subList(0, Math.min(2, path.size())));
		return switch (route) {
			case "GET v1/status" -> BodySink.ignoring(() -> call.respond(200, status()));
			case "PUT v1/weights" -> startLoading(call);
			case "POST v1/completions" -> BodySink.collecting((body) -> submitCompletion(call, body));
			case "DELETE v1/completions" -> BodySink.ignoring(() -> cancel(call, path));
			default -> BodySink.ignoring(() -> call.respondWithError(404, "no such path"));
		};
	}

	private ObjectNode status() {
		return JsonBody.object()
			.put("incarnation", this.health.incarnation())
			.put("state", state())
			.put("service", this.settings.service())
			.put("version", this.loaded.version())
			.put("digest", this.loaded.digest())
			.put("running", this.batch.reportedRunning())
			.put("cold_limit", this.settings.coldLimit())
			.put("capacity", this.settings.capacity());
	}

	private String state() {
		if (this.loading) {
			return "loading";
		}
		if (this.loaded.isEmpty()) {
			return "empty";
		}
		return this.health.isCold() ? "cold" : "ready";
	}

	private void submitCompletion(Call call, byte[] body) {
		EngineRequest request = new EngineRequest(call, JsonBody.parse(body), Digests.of(body));
		String expected = call.header("X-Expected-Incarnation").orElse("");
		if (!expected.isEmpty() && !expected.equals(Long.toString(this.health.incarnation()))) {
			refuse(call, 409, "the engine has restarted");
		}
		else if (this.loading || this.loaded.isEmpty()) {
			refuse(call, 503, "state is " + state());
		}
		else {
			this.batch.submit(request, this.loaded, this.health.incarnation());
		}
	}

	private void refuse(Call call, int status, String detail) {
		byte[] body = JsonBody.object().put("error", detail).toString().getBytes(StandardCharsets.UTF_8);
		call.respond(status, "application/json", body, Batch.responseHeaders(this.loaded, this.health.incarnation()));
	}

	// Logs the request; the engine crashes if it is cold and runs too many requests.
	private boolean tryStart(EngineRequest request, int running) {
		boolean cold = this.health.isCold();
		this.runLog.add(new RunLog.Entry(request.requestId(), request.idempotencyKey(), request.bodyDigest(),
				request.call().arrivalMillis(), System.currentTimeMillis(), this.loaded.version(), this.loaded.digest(),
				this.health.incarnation(), running, cold, this.health.coldDurationMillis()));
		if (cold && running > this.settings.coldLimit()) {
			crash();
			return false;
		}
		return true;
	}

	private void crash() {
		this.crashes++;
		this.batch.clear();
		this.loading = false;
		this.health.restart();
		server().dropConnections();
	}

	private void cancel(Call call, List<String> path) {
		boolean cancelled = path.size() == 3 && this.batch.cancel(path.get(2));
		if (cancelled) {
			call.respond(200, JsonBody.object().put("cancelled", path.get(2)));
		}
		else {
			call.respondWithError(404, "no such request");
		}
	}

	private BodySink startLoading(Call call) {
		long fence = call.longParameter("fence", 0);
		if (this.loading || (this.settings.checksFence() && fence < this.highestFence)) {
			this.refusedLoads++;
			return BodySink
				.ignoring(() -> call.respondWithError(409, this.loading ? "already loading" : "fence is outdated"));
		}
		this.highestFence = Math.max(fence, this.highestFence);
		this.loading = true;
		this.loadSpans.begin(call.parameter("version").orElse(""), System.currentTimeMillis());
		long incarnation = this.health.incarnation();
		call.onClose(() -> endLoading(incarnation));
		return new WeightSink(call, incarnation);
	}

	private void endLoading(long incarnation) {
		if (incarnation == this.health.incarnation()) {
			this.loading = false;
		}
	}

	private void finishLoading(Call call, long incarnation, LoadedWeights weights) {
		if (incarnation != this.health.incarnation() || call.isEnded()) {
			return;
		}
		this.loading = false;
		this.loadSpans.end(System.currentTimeMillis());
		this.completedLoads++;
		this.loaded = weights;
		this.health.setCold();
		call.respond(200, status());
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = status();
		node.put("failure_domain", this.settings.failureDomain());
		node.put("loads", this.completedLoads);
		this.loadSpans.write(node);
		node.put("refused_loads", this.refusedLoads);
		node.put("crashes", this.crashes);
		node.put("cancelled", this.batch.cancelled());
		this.runLog.write(node);
		return node;
	}

	/**
	 * Returns the log of requests; for callers in the same process.
	 * @return entries so far
	 */
	public List<RunLog.Entry> runs() {
		return server().callOnLoop(this.runLog::entries);
	}

	@Override
	public void kill() {
		this.batch.clear();
		this.loading = false;
		this.loaded = LoadedWeights.NONE;
		this.highestFence = 0;
		this.health.restart();
	}

	@Override
	public void onFaultActivated(ObjectNode fault) {
		switch (fault.path("kind").asText()) {
			case "cold" -> {
				if (fault.path("drop").asBoolean()) {
					this.batch.clear();
					this.loading = false;
					this.health.restart();
					server().dropConnections();
				}
				else {
					this.health.setCold();
				}
			}
			case "crash" -> crash();
			default -> {
			}
		}
	}

	/**
	 * Receives the weights of a load command and verifies their digest.
	 */
	private final class WeightSink implements BodySink {

		private final Call call;

		private final long incarnation;

		private final MessageDigest digest = Digests.sha256();

		WeightSink(Call call, long incarnation) {
			this.call = call;
			this.incarnation = incarnation;
		}

		@Override
		public void onPart(ByteBuf part) {
			this.digest.update(part.nioBuffer());
		}

		@Override
		public void onEnd() {
			String actual = Digests.hex(this.digest.digest());
			if (!actual.equals(this.call.parameter("digest").orElse(""))) {
				endLoading(this.incarnation);
				this.call.respondWithError(400, "digest of the bytes is " + actual);
				return;
			}
			LoadedWeights weights = new LoadedWeights(this.call.parameter("version").orElse(""), actual);
			server().loop()
				.schedule(() -> finishLoading(this.call, this.incarnation, weights),
						EngineStandin.this.settings.loadMillis(), TimeUnit.MILLISECONDS);
		}

	}

}
