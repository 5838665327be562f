/**
 * Coordinates the order in which the agents of one group (service and failure domain)
 * switch to another version of their model.
 *
 * <pre>{@code
 * RolloutTable table = new RolloutTable("agent-1", incarnation);
 * table.announce(new RolloutKey("v7", 12), RolloutPhase.READY, 0);
 * SwitchDecision decision = new SwitchScheduler(skipTimeoutNanos).decide(table, listedAgents, maxOut, nowNanos);
 * }</pre>
 */
@NullMarked
package org.baobabknot.rollout;

import org.jspecify.annotations.NullMarked;
