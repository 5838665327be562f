package org.baobabknot.stops;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Counts what callers got in stops. LOST is counted as the users state it: a request has
 * no complete response although it was passed on to a target, or its connection ended
 * later than 200 ms after its last byte.
 */
final class StopTally {

	private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** From the last sixth of the time to stop, targets that still run excuse a cut. */
	private static final long LAST_SIXTH_NANOS = TimeUnit.MILLISECONDS.toNanos(StopSite.GRACE_MS) * 5 / 6;

	private static final long LATEST_EXCUSED_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final Map<String, TargetRun> runs;

	private final List<String> lines = new ArrayList<>();

	private final List<Long> durationsMs = new ArrayList<>();

	private int requests;

	private int whole;

	private int refused;

	private int failed;

	private int deadline;

	private int cutExcused;

	private int closed;

	private int closedKept;

	private int lost;

	private int lostWithFreeze;

	private int killed;

	StopTally(Map<String, TargetRun> runs) {
		this.runs = runs;
	}

	void add(StopRecord stop, List<StopRequest> all) {
		this.durationsMs.add(TimeUnit.NANOSECONDS.toMillis(stop.endNanos() - stop.signalNanos()));
		this.killed += (stop.killed()) ? 1 : 0;
		all.stream().filter(stop::concerns).forEach((request) -> add(stop, request));
	}

	private void add(StopRecord stop, StopRequest request) {
		this.requests++;
		if (request.whole()) {
			this.whole++;
		}
		else if (request.refused()) {
			this.refused++;
		}
		else if (!request.unanswered()) {
			this.failed++;
		}
		else if (!passedOn(request) && !late(request)) {
			this.closed++;
			if (!request.newConnection) {
				this.closedKept++;
				this.lines.add(describe("closed", stop, request));
			}
		}
		else if (request.deadlineReached()) {
			this.deadline++;
		}
		else if (targetRanInLastSixth(stop, request)) {
			this.cutExcused++;
		}
		else {
			addLost(stop, request);
		}
	}

	private boolean passedOn(StopRequest request) {
		return this.runs.containsKey(request.id);
	}

	private static boolean late(StopRequest request) {
		return request.sentNanos > 0 && request.endedNanos - request.sentNanos > SLACK_NANOS;
	}

	private boolean targetRanInLastSixth(StopRecord stop, StopRequest request) {
		TargetRun run = this.runs.get(request.id);
		return run != null && request.sentNanos - stop.signalNanos() <= LATEST_EXCUSED_NANOS
				&& run.endNanos() - stop.signalNanos() >= LAST_SIXTH_NANOS;
	}

	private void addLost(StopRecord stop, StopRequest request) {
		if (stop.plan().frozen()) {
			this.lostWithFreeze++;
		}
		else {
			this.lost++;
		}
		this.lines.add(describe("lost", stop, request));
		stop.log().lines().filter((line) -> line.contains(request.id)).forEach(this.lines::add);
	}

	private String describe(String what, StopRecord stop, StopRequest request) {
		return String.format(
				"%s: %s %s %s, %s connection, sent %d ms and ended %d ms after SIGTERM, %s, %s; %s, end after %d ms",
				what, request.id, request.kind, request.framing, (request.newConnection) ? "new" : "kept",
				ms(request.sentNanos - stop.signalNanos()), ms(request.endedNanos - stop.signalNanos()),
				(passedOn(request)) ? "passed on" : "not passed on", request.response, stop.plan(),
				ms(stop.endNanos() - stop.signalNanos()));
	}

	private static long ms(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	List<String> lines() {
		return this.lines;
	}

	boolean nothingLost() {
		return this.lost == 0 && this.lostWithFreeze == 0 && this.killed == 0;
	}

	ObjectNode figures() {
		List<Long> sorted = this.durationsMs.stream().sorted().toList();
		return JsonNodeFactory.instance.objectNode()
			.put("stops", sorted.size())
			.put("requests", this.requests)
			.put("whole", this.whole)
			.put("refused", this.refused)
			.put("refusedShare", Math.round(1e3 * this.refused / Math.max(1, this.requests)) / 1e3)
			.put("failed", this.failed)
			.put("deadline", this.deadline)
			.put("cutExcused", this.cutExcused)
			.put("closedWithoutByte", this.closed)
			.put("closedOnKept", this.closedKept)
			.put("lost", this.lost)
			.put("lostWithFreeze", this.lostWithFreeze)
			.put("killed", this.killed)
			.put("stopMedianMs", (sorted.isEmpty()) ? 0 : sorted.get(sorted.size() / 2))
			.put("stopMaxMs", (sorted.isEmpty()) ? 0 : sorted.get(sorted.size() - 1));
	}

	/**
	 * The run of a request at a target.
	 *
	 * @param endNanos time at which the target ends it, if nobody cancels it
	 */
	record TargetRun(long endNanos) {
	}

}
