package org.baobabknot.gateway;

import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.placement.TargetLoad;

/**
 * Connections and load of one target.
 *
 * @param address remote address of the connections
 * @param startedAtMs start of the target in ms since 1970
 * @param client client with the connections
 * @param load load and health of the target
 * @param crashProbe finds out whether the target has crashed
 */
record PooledTarget(String address, long startedAtMs, HttpClient client, TargetLoad load, CrashProbe crashProbe) {
}
