package org.baobabknot.distribution;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.baobabknot.distribution.StagingReservation.Order;
import org.baobabknot.distribution.StagingReservation.OrderOutcome;
import org.baobabknot.distribution.StagingReservation.Verification;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of which version may be written, verified and ordered at a staging area.
 */
class StagingReservationTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long START = 1_000;

	private final StagingReservation reservation = new StagingReservation(0);

	private void recordState(long startMs, long acceptedOrders, long nowNanos) {
		this.reservation.recordState(startMs, acceptedOrders, nowNanos, nowNanos);
	}

	@BeforeEach
	void settle() {
		recordState(START, 0, SECOND);
		this.reservation.request(2, 3 * SECOND);
		assertThat(this.reservation.mayWrite(2), is(true));
	}

	private Verification verification() {
		return this.reservation.beginVerification(2, START, 0).orElseThrow();
	}

	private Order order() {
		return this.reservation.beginOrder(verification(), START, 0).orElseThrow();
	}

	@Nested
	class AnotherVersionGetsTheArea {

		private boolean after(long nowNanos) {
			StagingReservationTests.this.reservation.request(3, nowNanos);
			return StagingReservationTests.this.reservation.mayWrite(3);
		}

		@Test
		void atOnceIfNothingIsUnderWay() {
			assertThat(after(4 * SECOND), is(true));
			assertThat(StagingReservationTests.this.reservation.mayWrite(2), is(false));
		}

		@Test
		void whenWritesHaveEnded() {
			StagingReservationTests.this.reservation.recordWrite();
			assertThat(after(4 * SECOND), is(false));
			assertThat(StagingReservationTests.this.reservation.mayWrite(2), is(false));
			StagingReservationTests.this.reservation.recordWriteEnd(true, 5 * SECOND);
			assertThat(after(5 * SECOND), is(true));
		}

		@Test
		void someTimeAfterTheEngineRespondsAgainToOthersThanALostWrite() {
			StagingReservationTests.this.reservation.recordWrite();
			StagingReservationTests.this.reservation.recordWriteEnd(false, 4 * SECOND);
			assertThat(after(60 * SECOND), is(false));
			StagingReservationTests.this.reservation.recordState(START, 0, 3 * SECOND, 60 * SECOND);
			assertThat(after(70 * SECOND), is(false));
			recordState(START, 0, 70 * SECOND);
			assertThat(after(70 * SECOND + StagingReservation.LATE_CALL_NANOS - 1), is(false));
			assertThat(after(70 * SECOND + StagingReservation.LATE_CALL_NANOS), is(true));
		}

		@Test
		void whenAnOrderIsAnswered() {
			Order order = order();
			assertThat(after(4 * SECOND), is(false));
			StagingReservationTests.this.reservation.recordOrderEnd(order, OrderOutcome.ACCEPTED, 5 * SECOND);
			assertThat(after(5 * SECOND), is(true));
		}

		@Test
		void whenAnOrderWithoutResponseWasAccepted() {
			StagingReservationTests.this.reservation.recordOrderEnd(order(), OrderOutcome.UNANSWERED, 5 * SECOND);
			recordState(START, 0, 60 * SECOND);
			assertThat(after(60 * SECOND), is(false));
			assertThat(StagingReservationTests.this.reservation.unansweredOrder(), is(Optional.of(2L)));
			recordState(START, 1, 61 * SECOND);
			assertThat(after(61 * SECOND), is(true));
		}

		// A rejection says nothing about the order before, which may still wait.
		@Test
		void notWhenTheRepetitionOfAnOrderIsRejected() {
			StagingReservationTests.this.reservation.recordOrderEnd(order(), OrderOutcome.UNANSWERED, 5 * SECOND);
			StagingReservationTests.this.reservation.recordOrderEnd(order(), OrderOutcome.REJECTED, 6 * SECOND);
			assertThat(after(7 * SECOND), is(false));
		}

		@Test
		void whenTheEngineHasStartedAgain() {
			StagingReservationTests.this.reservation.recordOrderEnd(order(), OrderOutcome.UNANSWERED, 5 * SECOND);
			recordState(START + 1, 0, 6 * SECOND);
			assertThat(after(6 * SECOND), is(true));
		}

		@Test
		void whenNothingListensAtTheEngine() {
			StagingReservationTests.this.reservation.recordOrderEnd(order(), OrderOutcome.UNANSWERED, 5 * SECOND);
			StagingReservationTests.this.reservation.recordEngineEnded(6 * SECOND);
			assertThat(after(6 * SECOND), is(true));
		}

		@Test
		void someTimeAfterTheFirstStateOfTheEngine() {
			StagingReservation created = new StagingReservation(0);
			created.request(2, 60 * SECOND);
			assertThat(created.mayWrite(2), is(false));
			created.recordState(START, 0, 60 * SECOND, 60 * SECOND);
			created.request(2, 60 * SECOND + StagingReservation.LATE_CALL_NANOS);
			assertThat(created.mayWrite(2), is(true));
		}

	}

	@Nested
	class NoOrder {

		private Optional<Order> after(Verification verification) {
			return StagingReservationTests.this.reservation.beginOrder(verification, START, 0);
		}

		@Test
		void afterAnotherVersionGotTheArea() {
			Verification verification = verification();
			StagingReservationTests.this.reservation.request(3, 4 * SECOND);
			assertThat(after(verification), is(Optional.empty()));
		}

		@Test
		void afterAnotherVersionHadTheArea() {
			Verification verification = verification();
			StagingReservationTests.this.reservation.request(3, 4 * SECOND);
			StagingReservationTests.this.reservation.request(2, 5 * SECOND);
			assertThat(after(verification), is(Optional.empty()));
		}

		@Test
		void afterAWriteHasBegun() {
			Verification verification = verification();
			StagingReservationTests.this.reservation.recordWrite();
			assertThat(after(verification), is(Optional.empty()));
		}

		@Test
		void afterARestartOfTheEngine() {
			assertThat(StagingReservationTests.this.reservation.beginOrder(verification(), START + 1, 0),
					is(Optional.empty()));
		}

		@Test
		void afterAnotherOrderWasAccepted() {
			assertThat(StagingReservationTests.this.reservation.beginOrder(verification(), START, 1),
					is(Optional.empty()));
		}

		@Test
		void whileChunksAreWritten() {
			StagingReservationTests.this.reservation.recordWrite();
			assertThat(StagingReservationTests.this.reservation.beginVerification(2, START, 0), is(Optional.empty()));
		}

	}

	/**
	 * Guards against a load of two versions under any order of announcements, writes,
	 * verifications, orders, late executions and restarts.
	 */
	@Nested
	class Schedules {

		@ParameterizedTest
		@ValueSource(longs = { 1, 1_001, 2_001, 3_001, 4_001 })
		void acceptOnlyWholeVersions(long firstSeed) {
			int loads = 0;
			for (long seed = firstSeed; seed < firstSeed + 200; seed++) {
				StagingSchedule schedule = new StagingSchedule(seed);
				schedule.run();
				assertThat("seed " + seed, schedule.mixedLoads(), empty());
				loads += schedule.loads();
			}
			assertThat(loads, greaterThan(200));
		}

	}

}
