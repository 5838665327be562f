package org.baobabknot.quarantine;

/**
 * A trait of a request to which a target has sent a whole response.
 *
 * @param trait the trait
 * @param ageNanos time since then, in nanoseconds
 */
public record ServedTrait(long trait, long ageNanos) {
}
