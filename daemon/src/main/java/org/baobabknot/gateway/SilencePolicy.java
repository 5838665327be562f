package org.baobabknot.gateway;

import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.Route;

/**
 * For how long the target of a request that may be repeated can be silent.
 */
final class SilencePolicy {

	/** Objective for the first byte on routes that define none. */
	private static final long DEFAULT_OBJECTIVE_MS = 1_000;

	/** Tolerated silence before the first byte, as a multiple of the objective. */
	private static final double FIRST_BYTE_SILENCE_RATIO = 2.5;

	/** Tolerated silence within a stream, as a multiple of the allowed pause. */
	private static final double STREAM_SILENCE_RATIO = 2.5;

	/** Lower bound of the tolerated silence. */
	private static final long MIN_SILENCE_MS = 500;

	/**
	 * Silence of one stream after which its attempt is abandoned although the target
	 * sends other responses: longer than a batch may delay a stream, and shorter than
	 * callers wait.
	 */
	private static final long STALLED_STREAM_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/** Silence that is longer than the pause of a sound target. */
	private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	private final TargetAttempt attempt;

	private final boolean streaming;

	private final double allowedNanos;

	SilencePolicy(TargetAttempt attempt, Route route, boolean streaming) {
		this.attempt = attempt;
		this.streaming = streaming;
		double allowedMs = Math.max(MIN_SILENCE_MS,
				(streaming) ? STREAM_SILENCE_RATIO * Math.max(1, route.pauseObjectiveMs())
						: FIRST_BYTE_SILENCE_RATIO * objectiveMs(route));
		this.allowedNanos = allowedMs * TimeUnit.MILLISECONDS.toNanos(1);
	}

	static long objectiveMs(Route route) {
		return (route.objectiveMs() > 0) ? route.objectiveMs() : DEFAULT_OBJECTIVE_MS;
	}

	/**
	 * Returns whether the target sends nothing to any request.
	 * @param nowNanos monotonic time
	 * @return whether it is silent for longer than tolerated
	 */
	boolean isTargetSilent(long nowNanos) {
		return this.attempt.targetSilentNanos(nowNanos) > this.allowedNanos;
	}

	/**
	 * Returns whether the target responds to other requests but not to this one, although
	 * this one isn't queued there.
	 * @param nowNanos monotonic time
	 * @return whether the response is stalled for longer than tolerated
	 */
	boolean isResponseStalled(long nowNanos) {
		if (this.attempt.responseSilentNanos(nowNanos) <= this.allowedNanos) {
			return false;
		}
		return (this.streaming)
				? this.attempt.responseSilentNanos(nowNanos) > this.attempt.targetSilentNanos(nowNanos)
						+ STALLED_STREAM_NANOS
				: this.attempt.load().estimatedRequests(nowNanos) <= this.attempt.target().slots();
	}

	/**
	 * Returns whether the response has stayed away for longer than a sound target pauses.
	 * @param nowNanos monotonic time
	 * @return whether the target is unlikely to go on
	 */
	boolean isLongerThanPause(long nowNanos) {
		return this.attempt.responseSilentNanos(nowNanos) > LONGEST_PAUSE_NANOS;
	}

}
