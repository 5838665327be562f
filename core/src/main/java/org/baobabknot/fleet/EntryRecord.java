package org.baobabknot.fleet;

/**
 * Registration of an entry.
 *
 * @param instance name of the entry
 * @param region region of the entry, empty if it did not register one
 * @param host address at which other processes reach it
 * @param port port at which it receives load reports, and at which other processes read
 * stored values from it
 */
public record EntryRecord(String instance, String region, String host, int port) {
}
