/**
 * Order in which the agents of one group (service and failure domain) switch to another
 * version of their model.
 *
 * <pre>{@code
 * RolloutView view = new RolloutView("agent-1", incarnation);
 * view.announce(new RolloutKey("v7", 12), RolloutPhase.READY, 0);
 * SwitchDecision decision = new SwitchRank(settings).decide(view, listed, out, nowNanos);
 * }</pre>
 */
@NullMarked
package org.baobabknot.rollout;

import org.jspecify.annotations.NullMarked;
