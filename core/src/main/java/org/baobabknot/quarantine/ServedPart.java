package org.baobabknot.quarantine;

/**
 * A part of a prompt on which a target has written a response without crashing.
 *
 * @param part id of the part
 * @param ageNanos time since then, in nanoseconds
 */
public record ServedPart(long part, long ageNanos) {
}
