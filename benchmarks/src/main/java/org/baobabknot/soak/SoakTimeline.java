package org.baobabknot.soak;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.experiment.LaunchedProcess;

/**
 * What caller, gateways and targets have seen of one request, in order of time.
 */
final class SoakTimeline {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Lines of its gateway that concern each request. */
	private static final Set<String> PROCESS_EVENTS = Set.of("started", "stopping", "stopped", "loop-late",
			"lines-suppressed");

	private static final double NANOS_PER_MS = 1e6;

	private static final long MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final SoakHistory history;

	private final List<LaunchedProcess> processes;

	private final TargetRecords targets;

	/** Wall clock minus monotonic clock, in ms. */
	private final double clockOffsetMs = System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MS;

	SoakTimeline(SoakHistory history, List<LaunchedProcess> processes) {
		this.history = history;
		this.processes = processes;
		this.targets = TargetRecords.of(history.engines());
	}

	/**
	 * Returns the timeline of a request.
	 * @param request the request
	 * @return one line for each event, with the time since the request was begun
	 */
	List<String> lines(SoakRequest request) {
		List<Entry> entries = new ArrayList<>();
		CallerExchange exchange = request.exchange();
		add(entries, exchange.beginNanos(), "caller", request.describe() + " begins, " + request.work() + ", timeout "
				+ request.timeoutMs() + " ms, " + request.message().body().length() + " bytes");
		add(entries, exchange.sentNanos(), "caller", "has sent the last byte");
		add(entries, exchange.headNanos(), "caller", "status " + exchange.status() + " " + exchange.headers());
		add(entries, exchange.endNanos(), "caller",
				exchange.end() + " with " + exchange.body().length() + " bytes of the body");
		for (TargetRecords.Entry entry : this.targets.of(request.message().id())) {
			add(entries, entry.event().nanos(), entry.target(),
					entry.event().kind() + ((entry.event().status() > 0) ? " " + entry.event().status() : ""));
		}
		long fromNanos = exchange.beginNanos() - MARGIN_NANOS;
		long toNanos = exchange.endNanos() + MARGIN_NANOS;
		for (SoakHistory.Disturbance each : this.history.disturbances()) {
			if (each.overlaps(request.gateway(), fromNanos, toNanos)) {
				String name = "gateway-" + each.gateway();
				add(entries, each.fromNanos(), name, (each.planned()) ? "SIGTERM" : "killed, paused or stalled");
				add(entries, each.toNanos(), name, (each.planned()) ? "ready again" : "goes on");
			}
		}
		for (LaunchedProcess process : this.processes) {
			addLines(entries, process, request, wallMs(fromNanos), wallMs(toNanos));
		}
		double beginMs = wallMs(exchange.beginNanos());
		return entries.stream()
			.sorted(Comparator.comparingDouble(Entry::wallMs))
			.map((entry) -> String.format("%+10.1f ms %-10s %s", entry.wallMs() - beginMs, entry.source(),
					entry.text()))
			.toList();
	}

	private void addLines(List<Entry> entries, LaunchedProcess process, SoakRequest request, double fromMs,
			double toMs) {
		boolean own = process.name().equals("gateway-" + request.gateway());
		for (String line : process.logText().split("\n")) {
			boolean names = line.contains("\"" + request.id() + "\"");
			if (!names && !own) {
				continue;
			}
			try {
				JsonNode node = MAPPER.readTree(line);
				double atMs = Instant.parse(node.path("time").asText()).toEpochMilli();
				boolean near = atMs >= fromMs && atMs <= toMs && PROCESS_EVENTS.contains(node.path("event").asText());
				if (names || near) {
					entries.add(new Entry(atMs, process.name(), line));
				}
			}
			catch (JsonProcessingException | java.time.DateTimeException ex) {
				// Not a line of the log, or the last one of a killed process.
			}
		}
	}

	private void add(List<Entry> entries, long nanos, String source, String text) {
		if (nanos != 0) {
			entries.add(new Entry(wallMs(nanos), source, text));
		}
	}

	private double wallMs(long nanos) {
		return nanos / NANOS_PER_MS + this.clockOffsetMs;
	}

	private record Entry(double wallMs, String source, String text) {
	}

}
