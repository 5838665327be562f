package org.baobabknot.membership;

/**
 * Result of applying an update to a {@link MembershipView}.
 */
public sealed interface MemberUpdateResult {

	/**
	 * The update is in force.
	 *
	 * @param version the new version
	 */
	record Applied(long version) implements MemberUpdateResult {
	}

	/**
	 * The view has this version or a higher one.
	 *
	 * @param current version of the view
	 */
	record Outdated(long current) implements MemberUpdateResult {
	}

	/**
	 * The changes build on a version above that of the view; pull from {@code current}.
	 *
	 * @param current version of the view
	 */
	record Gap(long current) implements MemberUpdateResult {
	}

}
