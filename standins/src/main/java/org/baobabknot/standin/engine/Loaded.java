package org.baobabknot.standin.engine;

/**
 * Weights in an engine.
 *
 * @param version the version, empty when none
 * @param digest SHA-256 of the bytes, empty when none
 */
record Loaded(String version, String digest) {

	static final Loaded NOTHING = new Loaded("", "");

	boolean isEmpty() {
		return this.digest.isEmpty();
	}

}
