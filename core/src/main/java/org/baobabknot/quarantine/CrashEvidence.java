package org.baobabknot.quarantine;

/**
 * A part of a prompt was in a request without a response at a target that crashed.
 *
 * @param part id of the part
 * @param crash id of the crash, the same in all processes
 * @param ageNanos time since the crash, in nanoseconds
 */
public record CrashEvidence(long part, long crash, long ageNanos) {
}
