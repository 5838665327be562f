package org.baobabknot.routing;

/**
 * Process with a name in a failure domain.
 *
 * @param name instance name
 * @param failureDomain name of the failure domain
 */
public record Instance(String name, String failureDomain) {

}
