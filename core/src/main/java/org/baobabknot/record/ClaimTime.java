package org.baobabknot.record;

/**
 * The two times that claims need.
 *
 * @param nanos monotonic time, for intervals in this process
 * @param seconds wall-clock time in seconds since 1970, compared between agents
 */
public record ClaimTime(long nanos, long seconds) {

}
