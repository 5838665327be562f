package org.baobabknot.time;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Bounded list of the latest events of a process. A full timeline drops its oldest event.
 * Thread-safe.
 */
public final class Timeline {

	private final int capacity;

	private final Deque<TimelineEvent> events = new ArrayDeque<>();

	/**
	 * Creates an empty timeline.
	 * @param capacity number of events kept, at least 1
	 */
	public Timeline(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be at least 1, was " + capacity);
		}
		this.capacity = capacity;
	}

	/**
	 * Adds an event.
	 * @param event the event
	 */
	public synchronized void append(TimelineEvent event) {
		if (this.events.size() == this.capacity) {
			this.events.removeFirst();
		}
		this.events.addLast(event);
	}

	/**
	 * Returns the oldest events after a reading of the clock.
	 * @param clock events at or before this reading are left out
	 * @param limit largest number of events to return
	 * @return events in order of their clock
	 */
	public synchronized List<TimelineEvent> after(long clock, int limit) {
		List<TimelineEvent> matchingEvents = new ArrayList<>();
		for (TimelineEvent event : this.events) {
			if (event.clock() > clock) {
				matchingEvents.add(event);
			}
		}
		matchingEvents.sort(Comparator.comparingLong(TimelineEvent::clock));
		return List.copyOf(matchingEvents.subList(0, Math.min(limit, matchingEvents.size())));
	}

}
