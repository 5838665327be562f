/**
 * Decides from which source an agent fetches each chunk of a version, and limits what the
 * agent serves to others.
 *
 * <pre>{@code
 * DistributionPlanner planner = new DistributionPlanner(manifest, self, settings, random, nowNanos);
 * planner.updateAgents(liveAgents, nowNanos);
 * planner.recordHeldChunks("agent-2", bitmap, nowNanos);
 * for (FetchCommand command : planner.plan(chunks.heldChunks(), nowNanos)) {
 *     start(command);
 * }
 * }</pre>
 */
@NullMarked
package org.baobabknot.distribution;

import org.jspecify.annotations.NullMarked;
