package org.baobabknot.standin.engine;

/**
 * Weights that an engine has loaded.
 *
 * @param version the version, empty when none
 * @param digest SHA-256 of the bytes, empty when none
 */
record LoadedWeights(String version, String digest) {

	static final LoadedWeights NONE = new LoadedWeights("", "");

	boolean isEmpty() {
		return this.digest.isEmpty();
	}

}
