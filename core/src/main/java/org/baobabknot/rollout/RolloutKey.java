package org.baobabknot.rollout;

/**
 * Identifies one rollout. The epoch tells a version that is asked for again, after
 * another one, from its first rollout: without it an old announcement of DONE would count
 * for the second rollout.
 *
 * @param version the version asked for
 * @param epoch rules revision in which the version was asked for
 */
public record RolloutKey(String version, long epoch) {

	/** The key before any version is asked for. */
	public static final RolloutKey NONE = new RolloutKey("", 0);

}
