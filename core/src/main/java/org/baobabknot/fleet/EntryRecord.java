package org.baobabknot.fleet;

/**
 * An entry as it is registered.
 *
 * @param instance name of the entry
 * @param region its region, empty if it does not tell
 * @param host address at which other processes reach it
 * @param port port at which it takes reports of load, and at which others read from it
 */
public record EntryRecord(String instance, String region, String host, int port) {
}
