package org.baobabknot.standin.store;

/**
 * One value.
 *
 * @param bytes the bytes
 * @param version the version
 * @param leaseId the lease, empty when none
 */
record StoredValue(byte[] bytes, long version, String leaseId) {

}
