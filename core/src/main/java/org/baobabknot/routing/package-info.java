/**
 * Selection of the agents that an entry connects to, and load balancing among them.
 *
 * <pre>{@code
 * Balancer balancer = new Balancer(BalancerSettings.defaults("oberbayern-a"), random);
 * balancer.add("agent-1", "translation", "oberbayern-a");
 * Optional<AgentChoice> choice = balancer.choose(RoutingRequest.of("translation"), Set.of(), now);
 * }</pre>
 */
@NullMarked
package org.baobabknot.routing;

import org.jspecify.annotations.NullMarked;
