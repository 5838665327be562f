package org.baobabknot.configuration;

/**
 * Result of {@link ConfigurationView#adopt}: whether the offered revision is in force.
 */
public sealed interface AdoptionResult {

	/**
	 * The revision is in force.
	 *
	 * @param previous the revision that was in force before
	 * @param current the revision in force
	 */
	record Adopted(Revision previous, Revision current) implements AdoptionResult {
	}

	/**
	 * This revision or a higher one was already in force.
	 *
	 * @param current number of the revision in force
	 */
	record Outdated(long current) implements AdoptionResult {
	}

	/**
	 * The offered revision has the same number as the one in force but another change id.
	 * The store never assigns a number twice, so one of the two did not come from the
	 * store.
	 *
	 * @param current the revision in force
	 * @param offered the revision that was refused
	 */
	record Conflicting(Revision current, Revision offered) implements AdoptionResult {
	}

}
