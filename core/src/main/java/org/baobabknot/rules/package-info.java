/**
 * The operators' rules: one rule per line, each with a comment that says who asked.
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
