package org.baobabknot.record;

/**
 * Current time, from the two clocks that claims use.
 *
 * @param monotonicNanos monotonic time in nanoseconds, for intervals in this process
 * @param epochSeconds wall-clock time in seconds since 1970, compared between agents
 */
public record ClaimTime(long monotonicNanos, long epochSeconds) {

}
