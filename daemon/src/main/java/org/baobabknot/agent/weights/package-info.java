/**
 * Distribution of the weights of an agent's target: fetches them from the origin and
 * other agents, serves them to other agents, and loads them into the target in the order
 * of the rollout.
 */
@NullMarked
package org.baobabknot.agent.weights;

import org.jspecify.annotations.NullMarked;
