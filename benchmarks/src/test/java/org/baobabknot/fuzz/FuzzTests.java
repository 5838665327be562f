package org.baobabknot.fuzz;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Runs a part of the fuzzing with a fixed seed.
 */
class FuzzTests {

	private static final long SEED = 41;

	private static final int TRIALS = 50_000;

	private static final int SECONDS = 15;

	// Guards against a call that gets something else when bytes arrive in other parts,
	// unbounded memory, and exceptions that no handler expects.
	@Test
	void mutatedAnswersShowNoFault() {
		FuzzExperiment.FuzzCounts counts = FuzzExperiment.run(SEED, TRIALS, SECONDS);
		assertThat(String.join("\n", counts.faults()), counts.faults(), empty());
		assertThat(counts.ended(), greaterThan(0));
	}

}
