package org.baobabknot.routing;

/**
 * Name and failure domain of an instance.
 *
 * @param name instance name
 * @param failureDomain name of the failure domain
 */
public record Instance(String name, String failureDomain) {

}
