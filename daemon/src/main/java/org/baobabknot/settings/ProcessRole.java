package org.baobabknot.settings;

/**
 * What a process does.
 */
public enum ProcessRole {

	/** Accepts HTTP requests from callers. */
	ENTRY,
	/** Sends requests to one target. */
	AGENT

}
