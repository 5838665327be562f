package org.baobabknot.configuration;

import java.time.Instant;

import org.baobabknot.rules.RuleSet;

/**
 * One accepted state of the rules.
 *
 * @param number number of the state, from 1; 0 stands for no rules
 * @param changeId identifies the change, so that a writer whose response was lost can
 * tell whether its write took effect
 * @param author who made the change
 * @param changedAt when it was made
 * @param text the rules as written
 * @param rules the rules as read
 */
public record Revision(long number, String changeId, String author, Instant changedAt, String text, RuleSet rules) {

	/** The state before any rules are known. */
	public static final Revision NONE = new Revision(0, "", "", Instant.EPOCH, "", RuleSet.empty());

}
