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
 * An engine. Further faults: {@code cold} turns it cold ({@code "drop": true} also drops
 * its connections, which changes the incarnation), {@code slow} with {@code factor}
 * multiplies the time per token, {@code crash} is what more requests than the cold limit
 * cause.
 */
public final class EngineStandin implements Standin {

	private final EngineSettings settings;

	private final RunLog log;

	private final EngineHealth health;

	private final Batch batch;

	private Loaded loaded = Loaded.NOTHING;

	private boolean loading;

	private final LoadSpans spans = new LoadSpans();

	private long loads;

	private long refusedLoads;

	private long crashes;

	private long highestFence;

	private @Nullable StandinServer server;

	/**
	 * Creates an empty engine.
	 * @param settings the settings
	 */
	public EngineStandin(EngineSettings settings) {
		this.settings = settings;
		this.log = new RunLog(settings.failureDomain());
		this.health = new EngineHealth(settings.coldMillis());
		this.batch = new Batch(settings, this::started);
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
	 * Sets loaded weights, for use in the same process before requests are sent.
	 * @param version the version
	 * @param digest the digest
	 * @param cold whether the engine is then cold
	 */
	public void preload(String version, String digest, boolean cold) {
		server().ask(() -> {
			this.loaded = new Loaded(version, digest);
			if (cold) {
				this.health.turnCold();
			}
			else {
				this.health.turnWarm();
			}
			return null;
		});
	}

	@Override
	public BodySink open(Call call) {
		List<String> path = call.segments();
		String start = call.method() + " " + String.join("/", path.subList(0, Math.min(2, path.size())));
		return switch (start) {
			case "GET v1/status" -> BodySink.ignore(() -> call.answer(200, status()));
			case "PUT v1/weights" -> load(call);
			case "POST v1/completions" -> BodySink.whole((body) -> complete(call, body));
			case "DELETE v1/completions" -> BodySink.ignore(() -> cancel(call, path));
			default -> BodySink.ignore(() -> call.refuse(404, "no such path"));
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

	private void complete(Call call, byte[] body) {
		Run run = new Run(call, JsonBody.parse(body), Digests.of(body));
		String expected = call.header("X-Expected-Incarnation").orElse("");
		if (!expected.isEmpty() && !expected.equals(Long.toString(this.health.incarnation()))) {
			refuse(call, 409, "the engine has restarted");
		}
		else if (this.loading || this.loaded.isEmpty()) {
			refuse(call, 503, "state is " + state());
		}
		else {
			this.batch.submit(run, this.loaded, this.health.incarnation());
		}
	}

	private void refuse(Call call, int status, String detail) {
		byte[] body = JsonBody.object().put("error", detail).toString().getBytes(StandardCharsets.UTF_8);
		call.answer(status, "application/json", body, Batch.headers(this.loaded, this.health.incarnation()));
	}

	// Records a request that starts, and crashes when a cold engine runs too many.
	private boolean started(Run run, int running) {
		boolean cold = this.health.isCold();
		this.log.add(new RunLog.Entry(run.requestId(), run.key(), run.bodyDigest(), run.call().arrivedMillis(),
				System.currentTimeMillis(), this.loaded.version(), this.loaded.digest(), this.health.incarnation(),
				running, cold, this.health.coldForMillis()));
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
			call.answer(200, JsonBody.object().put("cancelled", path.get(2)));
		}
		else {
			call.refuse(404, "no such request");
		}
	}

	private BodySink load(Call call) {
		long fence = call.number("fence", 0);
		if (this.loading || (this.settings.checksFence() && fence < this.highestFence)) {
			this.refusedLoads++;
			return BodySink.ignore(() -> call.refuse(409, this.loading ? "already loading" : "fence is outdated"));
		}
		this.highestFence = Math.max(fence, this.highestFence);
		this.loading = true;
		this.spans.begin(call.parameter("version").orElse(""), System.currentTimeMillis());
		long incarnation = this.health.incarnation();
		call.onClose(() -> endLoading(incarnation));
		return new WeightSink(call, incarnation);
	}

	private void endLoading(long incarnation) {
		if (incarnation == this.health.incarnation()) {
			this.loading = false;
		}
	}

	private void install(Call call, long incarnation, Loaded weights) {
		if (incarnation != this.health.incarnation() || call.isEnded()) {
			return;
		}
		this.loading = false;
		this.spans.end(System.currentTimeMillis());
		this.loads++;
		this.loaded = weights;
		this.health.turnCold();
		call.answer(200, status());
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = status();
		node.put("failure_domain", this.settings.failureDomain());
		node.put("loads", this.loads);
		this.spans.write(node);
		node.put("refused_loads", this.refusedLoads);
		node.put("crashes", this.crashes);
		node.put("cancelled", this.batch.cancelled());
		this.log.write(node);
		return node;
	}

	/**
	 * Returns the log, for use in the same process.
	 * @return entries so far
	 */
	public List<RunLog.Entry> runs() {
		return server().ask(this.log::entries);
	}

	@Override
	public void kill() {
		this.batch.clear();
		this.loading = false;
		this.loaded = Loaded.NOTHING;
		this.highestFence = 0;
		this.health.restart();
	}

	@Override
	public void faultSet(ObjectNode fault) {
		switch (fault.path("kind").asText()) {
			case "cold" -> {
				if (fault.path("drop").asBoolean()) {
					this.batch.clear();
					this.loading = false;
					this.health.restart();
					server().dropConnections();
				}
				else {
					this.health.turnCold();
				}
			}
			case "crash" -> crash();
			default -> {
			}
		}
	}

	/**
	 * Takes the bytes of a load command.
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
		public void part(ByteBuf part) {
			this.digest.update(part.nioBuffer());
		}

		@Override
		public void end() {
			String actual = Digests.hex(this.digest.digest());
			if (!actual.equals(this.call.parameter("digest").orElse(""))) {
				endLoading(this.incarnation);
				this.call.refuse(400, "digest of the bytes is " + actual);
				return;
			}
			Loaded weights = new Loaded(this.call.parameter("version").orElse(""), actual);
			server().loop()
				.schedule(() -> install(this.call, this.incarnation, weights), EngineStandin.this.settings.loadMillis(),
						TimeUnit.MILLISECONDS);
		}

	}

}
