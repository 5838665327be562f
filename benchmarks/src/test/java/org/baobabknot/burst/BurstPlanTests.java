package org.baobabknot.burst;

import org.baobabknot.experiment.Deployment;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link BurstPlan}.
 */
class BurstPlanTests {

	private final BurstPlan plan = BurstPlan.of(100, 6, 24, 2 << 20, 500);

	// Guards against a bound that is weaker than the stated one: 12 s for a copy over
	// the instance's link and 12 successive loads of 0.5 s with 9 replicas out of
	// service at the same time.
	@Test
	void computesLowerBoundFromLinkRateAndLoadTime() {
		assertThat(this.plan.maxOut(), is(9));
		assertThat(this.plan.boundSeconds(), closeTo(12 + 12 * 0.5, 1e-9));
	}

	// Guards against links that carry more than four and two copies in the allowed time.
	@Test
	void linkRatesMatchTheAllowedCopies() {
		Deployment deployment = this.plan.deployment();
		long modelBytes = deployment.model().bytes();
		assertThat((double) deployment.originBytesPerSecond() * 24 / modelBytes, closeTo(4, 0.01));
		assertThat((double) deployment.machineBytesPerSecond() * 24 / modelBytes, closeTo(2, 0.01));
	}

}
