package org.baobabknot.configuration;

/**
 * Result of offering a revision to a {@link ConfigurationView}.
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
	 * The view has this revision or a higher one.
	 *
	 * @param current number of the revision in force
	 */
	record Outdated(long current) implements AdoptionResult {
	}

	/**
	 * The revision has the number of the one in force and comes from another change. The
	 * store excludes this, so one of them did not come from the store.
	 *
	 * @param current the revision in force
	 * @param offered the revision that was refused
	 */
	record Conflicting(Revision current, Revision offered) implements AdoptionResult {
	}

}
