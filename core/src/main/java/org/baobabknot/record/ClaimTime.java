package org.baobabknot.record;

/**
 * The two times that claims need.
 *
 * @param monotonicNanos monotonic time, for intervals in this process
 * @param epochSeconds wall-clock time in seconds since 1970, compared between agents
 */
public record ClaimTime(long monotonicNanos, long epochSeconds) {

}
