package org.baobabknot.settings;

/**
 * One error in a settings file.
 *
 * @param path path in the file, such as {@code http.port}
 * @param found value in the file, shortened if it is long
 * @param expected description of the accepted values
 */
public record SettingsError(String path, String found, String expected) {

	@Override
	public String toString() {
		return this.path + ": found " + this.found + ", expected " + this.expected;
	}

}
