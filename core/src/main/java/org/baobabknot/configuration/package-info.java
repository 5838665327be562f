/**
 * The rule set that is in force in this process.
 *
 * <pre>{@code
 * ConfigurationView view = new ConfigurationView();
 * Adoption adoption = view.adopt(revision);
 * boolean inService = view.rules().inService("oberbayern");
 * }</pre>
 */
@NullMarked
package org.baobabknot.configuration;

import org.jspecify.annotations.NullMarked;
