package org.baobabknot.gateway;

import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.placement.TargetLoad;

/**
 * What a gateway keeps for one listed target.
 *
 * @param address address to which the connections go
 * @param startedAtMs start of the target in ms since 1970
 * @param client its connections
 * @param load its load and health
 */
record PooledTarget(String address, long startedAtMs, HttpClient client, TargetLoad load) {
}
