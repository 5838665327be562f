/**
 * Rule language of the operators: one rule per line, each with a comment that states who
 * asked for the rule and why.
 *
 * <pre>{@code
 * RulesResult result = new RulesReader().read(text);
 * if (result instanceof RulesResult.Accepted accepted) {
 *     boolean served = accepted.rules().servesWorkspace("translation", "inns");
 * }
 * }</pre>
 */
@NullMarked
package org.baobabknot.rules;

import org.jspecify.annotations.NullMarked;
