package org.baobabknot.rollout;

/**
 * Identifies one rollout. The epoch distinguishes a version that is requested again,
 * after another one, from its first rollout; without it an old announcement of DONE would
 * count for the second rollout.
 *
 * @param version the requested version
 * @param epoch rules revision in which the version was requested
 */
public record RolloutKey(String version, long epoch) {

	/** The key before any version is requested. */
	public static final RolloutKey NONE = new RolloutKey("", 0);

}
