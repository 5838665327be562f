package org.baobabknot.standin.store;

/**
 * One stored value.
 *
 * @param bytes the bytes
 * @param version the version
 * @param leaseId id of the lease, empty when none
 */
record StoredValue(byte[] bytes, long version, String leaseId) {

}
