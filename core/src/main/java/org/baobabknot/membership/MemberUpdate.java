package org.baobabknot.membership;

import java.util.List;

/**
 * A whole member list or the changes since a version.
 *
 * @param version version of the list after this update
 * @param full true when {@code members} is the whole list
 * @param baseVersion version that changes build on; 0 for a whole list
 * @param members the list, or the changed members; removed ones are {@code GONE}
 */
public record MemberUpdate(long version, boolean full, long baseVersion, List<Member> members) {

	public MemberUpdate {
		members = List.copyOf(members);
	}

	/**
	 * Creates an update with a whole list.
	 * @param version version of the list
	 * @param members all members
	 * @return the update
	 */
	public static MemberUpdate full(long version, List<Member> members) {
		return new MemberUpdate(version, true, 0, members);
	}

	/**
	 * Creates an update with changes.
	 * @param baseVersion version that the changes build on
	 * @param version version after the changes
	 * @param members the changed members
	 * @return the update
	 */
	public static MemberUpdate changes(long baseVersion, long version, List<Member> members) {
		return new MemberUpdate(version, false, baseVersion, members);
	}

}
