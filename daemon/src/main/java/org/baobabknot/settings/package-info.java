/**
 * Settings of a process, read from one JSON file. Every error is reported with its path
 * in the file and the expected value; unknown keys are refused with the nearest known
 * name.
 *
 * <pre>{@code
 * SettingsResult result = SettingsReader.read(Path.of("entry.json"));
 * }</pre>
 */
@NullMarked
package org.baobabknot.settings;

import org.jspecify.annotations.NullMarked;
