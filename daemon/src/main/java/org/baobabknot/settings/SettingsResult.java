package org.baobabknot.settings;

import java.util.List;

/**
 * Result of reading a settings file.
 */
public sealed interface SettingsResult {

	/**
	 * The file is valid.
	 *
	 * @param settings the settings
	 */
	record Accepted(Settings settings) implements SettingsResult {
	}

	/**
	 * The file has errors.
	 *
	 * @param errors all errors of the file, in the order in which fields are read
	 */
	record Rejected(List<SettingsError> errors) implements SettingsResult {

		public Rejected {
			errors = List.copyOf(errors);
		}

	}

}
