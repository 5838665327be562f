package org.baobabknot.observe;

import com.google.common.flogger.FluentLogger;
import org.baobabknot.time.HybridClock;
import org.baobabknot.time.Timeline;
import org.baobabknot.time.TimelineEvent;

/**
 * Records changes of state on the timeline and in the log.
 */
public final class EventRecorder {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final HybridClock clock;

	private final String instance;

	private final Timeline timeline;

	/**
	 * Creates a recorder with an empty timeline.
	 * @param clock supplies the timestamps of the events
	 * @param instance name of this instance
	 * @param capacity maximum number of events on the timeline
	 */
	public EventRecorder(HybridClock clock, String instance, int capacity) {
		this.clock = clock;
		this.instance = instance;
		this.timeline = new Timeline(capacity);
	}

	/**
	 * Records a change of state.
	 * @param kind kind of event in a few words with dashes, such as {@code rules-adopted}
	 * @param detail what changed, in one line
	 */
	public void record(String kind, String detail) {
		this.timeline.append(new TimelineEvent(this.clock.now(), this.instance, kind, detail));
		logger.atInfo().log("%s: %s", kind, detail);
	}

	/**
	 * Returns the timeline of the recorded events.
	 * @return the timeline
	 */
	public Timeline timeline() {
		return this.timeline;
	}

}
