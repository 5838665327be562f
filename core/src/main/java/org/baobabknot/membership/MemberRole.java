package org.baobabknot.membership;

/**
 * Role of an instance.
 */
public enum MemberRole {

	/** Accepts requests from callers. */
	ENTRY,
	/** Forwards requests to one target. */
	AGENT

}
