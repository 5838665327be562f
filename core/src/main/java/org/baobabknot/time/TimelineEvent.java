package org.baobabknot.time;

/**
 * A state change that a process reports.
 *
 * @param clock reading of the hybrid clock
 * @param instance the instance on which it happened
 * @param kind short name of the change
 * @param detail description of the change
 */
public record TimelineEvent(long clock, String instance, String kind, String detail) {
}
