package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;

/**
 * What all targets have seen of each request.
 */
final class TargetRecords {

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
	 * Returns whether the last target that ran a request has broken it off.
	 * @param requestId id of the request
	 * @return whether the target ended before its response was whole
	 */
	boolean brokeOff(String requestId) {
		String last = "";
		for (Entry entry : of(requestId)) {
			last = (entry.event().kind() == EventKind.STARTED) ? entry.target() : last;
		}
		EventKind state = states(requestId, Long.MAX_VALUE).get(last);
		return state == EventKind.BROKE_OFF || state == EventKind.CRASHED;
	}

	/**
	 * Returns whether a target was still at work on a request.
	 * @param requestId id of the request
	 * @param nanos monotonic time
	 * @return whether a run that began before had not ended
	 */
	boolean atWork(String requestId, long nanos) {
		return states(requestId, nanos).containsValue(EventKind.STARTED);
	}

	// The last event of the run at each target: runs may overlap.
	private Map<String, EventKind> states(String requestId, long beforeNanos) {
		Map<String, EventKind> states = new HashMap<>();
		of(requestId).stream()
			.filter((entry) -> entry.bounds() && entry.event().nanos() < beforeNanos)
			.forEach((entry) -> states.put(entry.target(), entry.event().kind()));
		return states;
	}

	/**
	 * Returns the ids of all requests that ran.
	 * @return the ids
	 */
	List<String> startedIds() {
		return this.entries.keySet().stream().filter((id) -> starts(id) > 0).toList();
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
