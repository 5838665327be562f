package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;

/**
 * What all targets have seen of each request.
 */
final class TargetRecords {

	/** Lowest status of an answer that is not the rest of a begun response. */
	private static final int STATUS_ERROR = 400;

	private final Map<String, List<Entry>> entries = new HashMap<>();

	TargetRecords(Stream<Entry> entries) {
		entries.sorted(Comparator.comparingLong((entry) -> entry.event().nanos()))
			.forEach((entry) -> this.entries.computeIfAbsent(entry.event().requestId(), (absent) -> new ArrayList<>())
				.add(entry));
	}

	/**
	 * Reads the targets.
	 * @param engines all targets of the soak
	 * @return what they have seen
	 */
	static TargetRecords of(List<EmulatedEngine> engines) {
		return new TargetRecords(engines.stream()
			.flatMap((engine) -> engine.events().stream().map((event) -> new Entry(engine.id(), event))));
	}

	/**
	 * Returns what targets have seen of a request.
	 * @param requestId id of the request
	 * @return the events in order of time
	 */
	List<Entry> of(String requestId) {
		return List.copyOf(this.entries.getOrDefault(requestId, List.of()));
	}

	private Stream<EngineEvent> events(String requestId, EventKind kind) {
		return of(requestId).stream().map(Entry::event).filter((event) -> event.kind() == kind);
	}

	int starts(String requestId) {
		return (int) events(requestId, EventKind.STARTED).count();
	}

	boolean received(String requestId) {
		return events(requestId, EventKind.RECEIVED).findAny().isPresent();
	}

	boolean answeredWith(String requestId, int status) {
		return events(requestId, EventKind.ANSWERED).anyMatch((event) -> event.status() == status);
	}

	/**
	 * Returns how far each target that took a request has come with it. Targets that
	 * refused it are left out.
	 * @param requestId id of the request
	 * @param beforeNanos monotonic time up to which events count
	 * @return the last state by target
	 */
	Map<String, Progress> progress(String requestId, long beforeNanos) {
		Map<String, Progress> progress = new TreeMap<>();
		Map<String, Integer> statuses = new HashMap<>();
		for (Entry entry : of(requestId)) {
			String target = entry.target();
			if (entry.event().nanos() >= beforeNanos) {
				break;
			}
			switch (entry.event().kind()) {
				case RECEIVED ->
					progress.compute(target, (id, last) -> (last == Progress.AT_WORK) ? last : Progress.WAITING);
				// Runs that waited begin even if their connection has ended meanwhile.
				case STARTED -> {
					progress.compute(target,
							(id, last) -> (last == null || last == Progress.WAITING) ? Progress.AT_WORK : last);
					statuses.remove(target);
				}
				case ANSWERED -> {
					statuses.put(target, entry.event().status());
					progress.remove(target, Progress.WAITING);
				}
				case ENDED -> progress.put(target,
						(statuses.getOrDefault(target, 0) >= STATUS_ERROR) ? Progress.ANSWERED_ERROR : Progress.ENDED);
				case BROKE_OFF -> progress.put(target, Progress.BROKE_OFF);
				case CRASHED -> progress.put(target, Progress.CRASHED);
				case CANCELLED -> progress.put(target, Progress.CANCELLED);
				default -> {
				}
			}
		}
		return progress;
	}

	/**
	 * Returns whether each target that took a request is known to have failed.
	 * @param requestId id of the request
	 * @param beforeNanos monotonic time up to which failures count
	 * @return false if no target took it, or if one of them has not failed
	 */
	boolean allFailed(String requestId, long beforeNanos) {
		Collection<Progress> progress = progress(requestId, beforeNanos).values();
		return !progress.isEmpty() && progress.stream().allMatch(Progress::failed);
	}

	/**
	 * Returns whether a target was still at work on a request.
	 * @param requestId id of the request
	 * @param nanos monotonic time
	 * @return whether a run that began before had not ended
	 */
	boolean atWork(String requestId, long nanos) {
		return openRuns(requestId, nanos).values().stream().anyMatch((runs) -> runs > 0);
	}

	// Runs may overlap, also at one target, to which a request may return.
	private Map<String, Integer> openRuns(String requestId, long beforeNanos) {
		Map<String, Integer> runs = new HashMap<>();
		of(requestId).stream()
			.filter((entry) -> entry.bounds() && entry.event().nanos() < beforeNanos)
			.forEach((entry) -> runs.merge(entry.target(), (entry.event().kind() == EventKind.STARTED) ? 1 : -1,
					Integer::sum));
		return runs;
	}

	/**
	 * Returns the ids of all requests that ran.
	 * @return the ids
	 */
	List<String> startedIds() {
		return this.entries.keySet().stream().filter((id) -> starts(id) > 0).toList();
	}

	/** How far a target has come with a request. */
	enum Progress {

		/** It waits for a slot. */
		WAITING(false),

		/** It runs. */
		AT_WORK(false),

		/** The whole response was sent. */
		ENDED(false),

		/** The gateway closed the connection before the end. */
		CANCELLED(false),

		/** It answered with an error, which can't finish a begun response. */
		ANSWERED_ERROR(true),

		/** The target ended its response or its connection before the end. */
		BROKE_OFF(true),

		/** The target crashed under the request. */
		CRASHED(true);

		private final boolean failed;

		Progress(boolean failed) {
			this.failed = failed;
		}

		boolean failed() {
			return this.failed;
		}

	}

	/**
	 * An event and its target.
	 *
	 * @param target id of the target
	 * @param event the event
	 */
	record Entry(String target, EngineEvent event) {

		// Whether a run began or ended.
		private boolean bounds() {
			return switch (this.event.kind()) {
				case STARTED, ENDED, BROKE_OFF, CANCELLED, CRASHED -> true;
				default -> false;
			};
		}

	}

}
