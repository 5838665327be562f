package org.baobabknot.membership;

import java.util.List;

/**
 * A complete member list or the changes since a version.
 *
 * @param version version of the list after this update
 * @param full true when {@code members} is the complete list
 * @param baseVersion version that the changes are based on; 0 for a complete list
 * @param members the list, or the changed members; removed ones are {@code GONE}
 */
public record MemberUpdate(long version, boolean full, long baseVersion, List<Member> members) {

	public MemberUpdate {
		members = List.copyOf(members);
	}

	/**
	 * Creates an update with a complete list.
	 * @param version version of the list
	 * @param members all members
	 * @return the update
	 */
	public static MemberUpdate full(long version, List<Member> members) {
		return new MemberUpdate(version, true, 0, members);
	}

	/**
	 * Creates an update with changes.
	 * @param baseVersion version that the changes are based on
	 * @param version version after the changes
	 * @param members the changed members
	 * @return the update
	 */
	public static MemberUpdate changes(long baseVersion, long version, List<Member> members) {
		return new MemberUpdate(version, false, baseVersion, members);
	}

}
