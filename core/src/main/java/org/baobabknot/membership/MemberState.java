package org.baobabknot.membership;

/**
 * State of an instance on the member list.
 */
public enum MemberState {

	/** Takes work. */
	LIVE,
	/** Finishes its work and takes no more. */
	LEAVING,
	/** Removed from the list; appears in changes only. */
	GONE

}
