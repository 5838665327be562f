package org.baobabknot.fleet;

/**
 * A service that a route distributes requests to, with its weight.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other services of the route
 */
public record ServiceShare(String service, double weight) {
}
