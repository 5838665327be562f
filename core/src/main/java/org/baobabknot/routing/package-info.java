/**
 * Which agents an entry connects to, and which of them gets the next request.
 *
 * <pre>{@code
 * Balancer balancer = new Balancer(BalancerSettings.defaults("oberbayern-a"), random);
 * balancer.add("agent-1", "translation", "oberbayern-a");
 * Optional<Choice> choice = balancer.choose(RoutingRequest.of("translation"), Set.of(), now);
 * }</pre>
 */
@NullMarked
package org.baobabknot.routing;

import org.jspecify.annotations.NullMarked;
