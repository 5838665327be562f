package org.baobabknot.configuration;

import java.time.Instant;

import org.baobabknot.rules.RuleSet;

/**
 * One accepted version of the rules.
 *
 * @param number number of the revision, from 1; 0 means that no rules are known
 * @param changeId id of the change, by which a writer that did not receive a response
 * checks whether its write took effect
 * @param author author of the change
 * @param changedAt time of the change
 * @param text the rules as text
 * @param rules the parsed rules
 */
public record Revision(long number, String changeId, String author, Instant changedAt, String text, RuleSet rules) {

	/** The revision that is in force before any rules are known. */
	public static final Revision NONE = new Revision(0, "", "", Instant.EPOCH, "", RuleSet.empty());

}
