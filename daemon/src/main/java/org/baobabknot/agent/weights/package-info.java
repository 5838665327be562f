/**
 * The weights of an agent's target: fetched from the origin and other agents, served to
 * other agents, and loaded into the target when it is this agent's turn.
 */
@NullMarked
package org.baobabknot.agent.weights;

import org.jspecify.annotations.NullMarked;
