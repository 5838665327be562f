package org.baobabknot.membership;

/**
 * Result of applying an update to a {@link MembershipView}.
 */
public sealed interface MemberUpdateResult {

	/**
	 * The update was applied.
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
	 * The changes are based on a higher version than that of the view, so that earlier
	 * changes are missing. They have to be pulled from {@code current}.
	 *
	 * @param current version of the view
	 */
	record Gap(long current) implements MemberUpdateResult {
	}

}
