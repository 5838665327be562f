package org.baobabknot.standin.store;

/**
 * One value.
 *
 * @param bytes the bytes
 * @param version the version
 * @param lease the lease, empty when none
 */
record Value(byte[] bytes, long version, String lease) {

}
