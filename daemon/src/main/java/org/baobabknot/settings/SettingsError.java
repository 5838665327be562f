package org.baobabknot.settings;

/**
 * One error in a settings file.
 *
 * @param path path in the file, such as {@code http.port}
 * @param found what the file holds there
 * @param expected what is accepted
 */
public record SettingsError(String path, String found, String expected) {

	@Override
	public String toString() {
		return this.path + ": found " + this.found + ", expected " + this.expected;
	}

}
