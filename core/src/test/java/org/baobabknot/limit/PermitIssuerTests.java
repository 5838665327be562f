package org.baobabknot.limit;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the permits that one process issues.
 */
class PermitIssuerTests {

	private static final long TARGET = 7;

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final PermitIssuer issuer = new PermitIssuer(new SplittableRandom(1));

	private PermitIssuer.Result issue(double rate, int permits, long maxWaitNanos, long nowNanos) {
		return this.issuer.issue(
				new PermitIssuer.Request(TARGET, new LimitStatement(rate, 1, 2), permits, maxWaitNanos, nowNanos % 5),
				1, nowNanos);
	}

	private int issuedInSeconds(double rate, int seconds) {
		int issued = 0;
		for (long now = 0; now < seconds * SECOND; now += MS) {
			issued += issue(rate, 1, 0, now).permits();
		}
		return issued;
	}

	@Nested
	class Rate {

		@ParameterizedTest
		@ValueSource(doubles = { 0.5, 1.7, 20 })
		void isTheStatedOne(double rate) {
			int issued = issuedInSeconds(rate, 20);
			assertThat(issued, lessThanOrEqualTo((int) (20 * rate) + 1));
			assertThat(issued, greaterThan((int) (18 * rate) - 1));
		}

		@Test
		void ofZeroLetsARequestPassNowAndThen() {
			assertThat(issuedInSeconds(0, 20), is(4));
		}

		@Test
		void thatRisesShortensTheWait() {
			issue(0.2, 1, 0, 0);
			PermitIssuerTests.this.issuer.recordStatement(TARGET, new LimitStatement(10, 3, 4));
			assertThat(issue(10, 1, 0, 150 * MS).retryInNanos(), is(97 * MS));
			assertThat(issue(10, 1, 0, 247 * MS).permits(), is(1));
		}

		@Test
		void farAboveTheTrafficIsIssuedAtOnce() {
			assertThat(issue(1e9, 500, 0, 0).permits(), is(500));
			assertThat(issue(1e9, 500, 0, MS).permits(), is(500));
		}

	}

	@Nested
	class Reservations {

		@Test
		void followEachOther() {
			assertThat(issue(2, 1, SECOND, 0).validInNanos(), is(0L));
			assertThat(issue(2, 1, SECOND, 0).validInNanos(), is(500 * MS));
			assertThat(issue(2, 1, SECOND, 0).validInNanos(), is(1_000 * MS));
		}

		@Test
		void thatWouldBeTooLateAreNotMade() {
			issue(2, 1, 0, 0);
			PermitIssuer.Result refused = issue(2, 1, 499 * MS, 0);
			assertThat(refused.permits(), is(0));
			assertThat(refused.retryInNanos(), is(500 * MS));
		}

	}

	@Nested
	class Statements {

		@Test
		void ofALiftedLimitGoToThoseThatDoNotKnowIt() {
			issue(2, 1, 0, 0);
			assertThat(PermitIssuerTests.this.issuer.recordStatement(TARGET,
					new LimitStatement(LimitStatement.UNLIMITED, 3, 4)), is(true));
			PermitIssuer.Result result = issue(2, 3, 0, MS);
			assertThat(result.permits(), is(3));
			assertThat(result.statement().ratePerSecond(), is(LimitStatement.UNLIMITED));
		}

		@Test
		void areKnownBeforeThisProcessUsesTheTarget() {
			assertThat(PermitIssuerTests.this.issuer.statement(TARGET).isPresent(), is(false));
			PermitIssuerTests.this.issuer.recordStatement(TARGET, new LimitStatement(2, 3, 4));
			assertThat(PermitIssuerTests.this.issuer.statement(TARGET).orElseThrow().ratePerSecond(), is(2.0));
		}

	}

}
