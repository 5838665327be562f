package org.baobabknot.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Continuous batching: each step makes one token for every request that runs, and waiting
 * requests join, by priority, as others finish.
 */
final class Batch {

	private static final int PREFIX_CHARACTERS = 256;

	private static final double NANOS_PER_MILLI = 1e6;

	private final EngineSettings settings;

	private final Starter starter;

	private final List<Run> running = new ArrayList<>();

	private final List<Run> waiting = new ArrayList<>();

	private final Map<Run, StringBuilder> texts = new LinkedHashMap<>();

	private final Map<String, Boolean> prefixes;

	private Loaded loaded = Loaded.NOTHING;

	private long incarnation;

	private boolean ticking;

	private long cancelled;

	private int reported;

	private long reportedAtNanos = System.nanoTime();

	private @Nullable StandinServer server;

	Batch(EngineSettings settings, Starter starter) {
		this.settings = settings;
		this.starter = starter;
		this.prefixes = new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
				return size() > settings.cacheEntries();
			}
		};
	}

	void attach(StandinServer owner) {
		this.server = owner;
	}

	static Map<String, String> headers(Loaded loaded, long incarnation) {
		return Map.of("X-Model-Version", loaded.version(), "X-Model-Digest", loaded.digest(), "X-Engine-Incarnation",
				Long.toString(incarnation));
	}

	void submit(Run run, Loaded weights, long engineIncarnation) {
		this.loaded = weights;
		this.incarnation = engineIncarnation;
		int position = 0;
		while (position < this.waiting.size() && this.waiting.get(position).rank() <= run.rank()) {
			position++;
		}
		this.waiting.add(position, run);
		run.call().onClose(() -> remove(run));
		fill();
	}

	private void fill() {
		while (!this.waiting.isEmpty() && this.running.size() < this.settings.capacity()) {
			Run run = this.waiting.remove(0);
			this.running.add(run);
			run.begin(this.loaded.digest(), prefill(run));
			if (!this.starter.tryStart(run, this.running.size())) {
				return;
			}
			this.texts.put(run, new StringBuilder());
			if (run.stream()) {
				run.call().start(200, "text/event-stream", -1, headers(this.loaded, this.incarnation));
			}
		}
		tick();
	}

	private double prefill(Run run) {
		String prefix = run.prompt().substring(0, Math.min(PREFIX_CHARACTERS, run.prompt().length()));
		boolean cached = this.prefixes.remove(prefix) != null;
		this.prefixes.put(prefix, Boolean.TRUE);
		return cached ? 0 : this.settings.prefillMillis();
	}

	private void tick() {
		StandinServer owner = this.server;
		if (this.ticking || this.running.isEmpty() || owner == null) {
			return;
		}
		this.ticking = true;
		double factor = owner.faults().find("slow").map((fault) -> fault.path("factor").asDouble(1)).orElse(1.0);
		double millis = this.settings.tokenMillis();
		owner.loop().schedule(() -> {
			this.ticking = false;
			if (!owner.faults().isOn("freeze")) {
				step(millis);
			}
			tick();
		}, (long) (millis * factor * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
	}

	private void step(double millis) {
		for (Run run : List.copyOf(this.running)) {
			String token = run.step(millis);
			StringBuilder text = this.texts.get(run);
			if (token.isEmpty() || text == null) {
				continue;
			}
			text.append(token);
			if (run.stream()) {
				event(run, JsonBody.object().put("index", run.tokens() - 1).put("token", token).toString());
			}
			if (run.finished()) {
				finish(run, text.toString());
			}
		}
		fill();
	}

	private static void event(Run run, String data) {
		byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
		run.call().part(bytes, 0, bytes.length);
	}

	private void finish(Run run, String text) {
		this.running.remove(run);
		this.texts.remove(run);
		if (run.stream()) {
			event(run, "[DONE]");
			run.call().end();
			return;
		}
		byte[] body = JsonBody.object()
			.put("request_id", run.requestId())
			.put("text", text)
			.put("tokens", run.tokens())
			.put("version", this.loaded.version())
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		run.call().answer(200, "application/json", body, headers(this.loaded, this.incarnation));
	}

	private boolean remove(Run run) {
		boolean removed = this.running.remove(run) | this.waiting.remove(run);
		this.texts.remove(run);
		if (removed) {
			this.cancelled++;
		}
		return removed;
	}

	boolean cancel(String requestId) {
		List<Run> all = new ArrayList<>(this.running);
		all.addAll(this.waiting);
		for (Run run : all) {
			if (run.requestId().equals(requestId)) {
				remove(run);
				run.call().drop();
				fill();
				return true;
			}
		}
		return false;
	}

	void clear() {
		List<Run> all = new ArrayList<>(this.running);
		all.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		this.texts.clear();
		all.forEach((run) -> run.call().drop());
	}

	long cancelled() {
		return this.cancelled;
	}

	// The reported number is refreshed at most once per report lag.
	int reportedRunning() {
		long now = System.nanoTime();
		if (now - this.reportedAtNanos >= TimeUnit.MILLISECONDS.toNanos(this.settings.reportLagMillis())) {
			this.reportedAtNanos = now;
			this.reported = this.running.size();
		}
		return this.reported;
	}

	/**
	 * Decides whether a request may start.
	 */
	interface Starter {

		boolean tryStart(Run run, int running);

	}

}
