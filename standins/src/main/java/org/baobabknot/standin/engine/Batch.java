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
 * Continuous batching: each step generates one token for every running request, and
 * queued requests start in order of priority as others finish.
 */
final class Batch {

	private static final int PREFIX_CHARACTERS = 256;

	private static final double NANOS_PER_MS = 1e6;

	private final EngineSettings settings;

	private final StartHandler startHandler;

	private final List<EngineRequest> running = new ArrayList<>();

	private final List<EngineRequest> queued = new ArrayList<>();

	private final Map<EngineRequest, StringBuilder> generatedTexts = new LinkedHashMap<>();

	private final Map<String, Boolean> cachedPrefixes;

	private LoadedWeights loaded = LoadedWeights.NONE;

	private long incarnation;

	private boolean stepScheduled;

	private long cancelled;

	private int reportedCount;

	private long reportedAtNanos = System.nanoTime();

	private @Nullable StandinServer server;

	Batch(EngineSettings settings, StartHandler startHandler) {
		this.settings = settings;
		this.startHandler = startHandler;
		this.cachedPrefixes = new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
				return size() > settings.cacheEntries();
			}
		};
	}

	void attach(StandinServer owner) {
		this.server = owner;
	}

	static Map<String, String> responseHeaders(LoadedWeights loaded, long incarnation) {
		return Map.of("X-Model-Version", loaded.version(), "X-Model-Digest", loaded.digest(), "X-Engine-Incarnation",
				Long.toString(incarnation));
	}

	void submit(EngineRequest request, LoadedWeights weights, long engineIncarnation) {
		this.loaded = weights;
		this.incarnation = engineIncarnation;
		int position = 0;
		while (position < this.queued.size() && this.queued.get(position).priorityRank() <= request.priorityRank()) {
			position++;
		}
		this.queued.add(position, request);
		request.call().onClose(() -> remove(request));
		startQueuedRequests();
	}

	private void startQueuedRequests() {
		while (!this.queued.isEmpty() && this.running.size() < this.settings.capacity()) {
			EngineRequest request = this.queued.remove(0);
			this.running.add(request);
			request.start(this.loaded.digest(), prefillMillis(request));
			if (!this.startHandler.tryStart(request, this.running.size())) {
				return;
			}
			this.generatedTexts.put(request, new StringBuilder());
			if (request.isStreaming()) {
				request.call()
					.startResponse(200, "text/event-stream", -1, responseHeaders(this.loaded, this.incarnation));
			}
		}
		scheduleStep();
	}

	private double prefillMillis(EngineRequest request) {
		String prefix = request.prompt().substring(0, Math.min(PREFIX_CHARACTERS, request.prompt().length()));
		boolean cached = this.cachedPrefixes.remove(prefix) != null;
		this.cachedPrefixes.put(prefix, Boolean.TRUE);
		return cached ? 0 : this.settings.prefillMillis();
	}

	private void scheduleStep() {
		StandinServer owner = this.server;
		if (this.stepScheduled || this.running.isEmpty() || owner == null) {
			return;
		}
		this.stepScheduled = true;
		double factor = owner.faults().find("slow").map((fault) -> fault.path("factor").asDouble(1)).orElse(1.0);
		double tokenMillis = this.settings.tokenMillis();
		owner.loop().schedule(() -> {
			this.stepScheduled = false;
			if (!owner.faults().isActive("freeze")) {
				step(tokenMillis);
			}
			scheduleStep();
		}, (long) (tokenMillis * factor * NANOS_PER_MS), TimeUnit.NANOSECONDS);
	}

	private void step(double stepMillis) {
		for (EngineRequest request : List.copyOf(this.running)) {
			String token = request.nextToken(stepMillis);
			StringBuilder text = this.generatedTexts.get(request);
			if (token.isEmpty() || text == null) {
				continue;
			}
			text.append(token);
			if (request.isStreaming()) {
				sendEvent(request,
						JsonBody.object().put("index", request.generatedTokens() - 1).put("token", token).toString());
			}
			if (request.isFinished()) {
				finish(request, text.toString());
			}
		}
		startQueuedRequests();
	}

	private static void sendEvent(EngineRequest request, String data) {
		byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
		request.call().sendBodyPart(bytes, 0, bytes.length);
	}

	private void finish(EngineRequest request, String text) {
		this.running.remove(request);
		this.generatedTexts.remove(request);
		if (request.isStreaming()) {
			sendEvent(request, "[DONE]");
			request.call().endResponse();
			return;
		}
		byte[] body = JsonBody.object()
			.put("request_id", request.requestId())
			.put("text", text)
			.put("tokens", request.generatedTokens())
			.put("version", this.loaded.version())
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		request.call().respond(200, "application/json", body, responseHeaders(this.loaded, this.incarnation));
	}

	private boolean remove(EngineRequest request) {
		boolean removed = this.running.remove(request) | this.queued.remove(request);
		this.generatedTexts.remove(request);
		if (removed) {
			this.cancelled++;
		}
		return removed;
	}

	boolean cancel(String requestId) {
		List<EngineRequest> all = new ArrayList<>(this.running);
		all.addAll(this.queued);
		for (EngineRequest request : all) {
			if (request.requestId().equals(requestId)) {
				remove(request);
				request.call().closeConnection();
				startQueuedRequests();
				return true;
			}
		}
		return false;
	}

	void clear() {
		List<EngineRequest> all = new ArrayList<>(this.running);
		all.addAll(this.queued);
		this.running.clear();
		this.queued.clear();
		this.generatedTexts.clear();
		all.forEach((request) -> request.call().closeConnection());
	}

	long cancelled() {
		return this.cancelled;
	}

	// Refreshed at most once per report lag, so the reported number may be outdated.
	int reportedRunning() {
		long now = System.nanoTime();
		if (now - this.reportedAtNanos >= TimeUnit.MILLISECONDS.toNanos(this.settings.reportLagMillis())) {
			this.reportedAtNanos = now;
			this.reportedCount = this.running.size();
		}
		return this.reportedCount;
	}

	/**
	 * Called when a request is about to start; decides whether it may.
	 */
	interface StartHandler {

		boolean tryStart(EngineRequest request, int running);

	}

}
