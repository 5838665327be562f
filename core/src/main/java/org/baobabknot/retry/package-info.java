/**
 * Decides whether a request is sent again after an attempt that did not succeed.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 1);
 * RetryPolicy policy = new RetryPolicy(RetrySettings.defaults(), budget, random);
 * budget.deposit();
 * RetryDecision decision = policy.decide(attempt, now);
 * }</pre>
 */
@NullMarked
package org.baobabknot.retry;

import org.jspecify.annotations.NullMarked;
