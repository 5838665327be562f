package org.baobabknot.retry;

/**
 * Pause before a call that follows others which brought nothing new, so that no sequence
 * of responses makes a process call without a pause.
 */
public final class CallPacer {

	private static final long MIN_PAUSE_MS = 100;

	private static final int FACTOR = 3;

	private final long minPauseMs;

	private final long maxPauseMs;

	private final int factor;

	private long nextPauseMs;

	/**
	 * Creates a pacer whose pauses begin at 100 ms.
	 * @param maxPauseMs longest pause, in ms
	 */
	public CallPacer(long maxPauseMs) {
		this(MIN_PAUSE_MS, maxPauseMs, FACTOR);
	}

	/**
	 * Creates a pacer.
	 * @param minPauseMs first pause, in ms
	 * @param maxPauseMs longest pause, in ms
	 * @param factor ratio of two pauses that follow each other
	 */
	public CallPacer(long minPauseMs, long maxPauseMs, int factor) {
		this.minPauseMs = minPauseMs;
		this.maxPauseMs = maxPauseMs;
		this.factor = factor;
		this.nextPauseMs = minPauseMs;
	}

	/**
	 * Records that a call brought something new, or lasted as long as it was to.
	 */
	public void recordProgress() {
		this.nextPauseMs = this.minPauseMs;
	}

	/**
	 * Records that a call returned early without anything new.
	 * @return pause before the next call in ms, longer each time up to a limit
	 */
	public long pauseAfterNoProgress() {
		long pauseMs = this.nextPauseMs;
		this.nextPauseMs = Math.min(this.maxPauseMs, pauseMs * this.factor);
		return pauseMs;
	}

	/**
	 * Returns whether several calls in a row brought nothing new.
	 * @return whether the next pause is the longest one
	 */
	public boolean isAtLimit() {
		return this.nextPauseMs >= this.maxPauseMs;
	}

}
