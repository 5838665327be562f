package org.baobabknot.membership;

/**
 * State of an instance on the member list.
 */
public enum MemberState {

	/** Accepts requests. */
	LIVE,
	/** Completes its requests and accepts no new ones. */
	LEAVING,
	/** Removed from the list; only used in changes. */
	GONE

}
