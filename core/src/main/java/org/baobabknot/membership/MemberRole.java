package org.baobabknot.membership;

/**
 * What an instance does.
 */
public enum MemberRole {

	/** Accepts requests from callers. */
	ENTRY,
	/** Stands in front of one target. */
	AGENT

}
