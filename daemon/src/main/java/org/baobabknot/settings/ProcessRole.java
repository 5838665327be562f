package org.baobabknot.settings;

/**
 * Roles of a process.
 */
public enum ProcessRole {

	/** Accepts HTTP requests from callers. */
	ENTRY,
	/** Sends requests to one target. */
	AGENT

}
