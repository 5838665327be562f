package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.emulator.CallerExchange.End;
import org.baobabknot.emulator.CallerMessage;
import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;
import org.baobabknot.emulator.EngineWork;
import org.baobabknot.soak.TargetRecords.Entry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests that the checks of the soak count what the rules count, and excuse only what they
 * excuse. The stop of gateway 0 begins at second 10 and has a grace of 8 s.
 */
class SoakChecksTests {

	private static final EngineWork WORK = new EngineWork(5, 10, 0);

	private final List<SoakViolation> violations = new ArrayList<>();

	private final SoakHistory history = new SoakHistory();

	private static long nanos(double seconds) {
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

	private static Entry event(EventKind kind, double seconds) {
		return event("t1", kind, seconds);
	}

	private static Entry event(String target, EventKind kind, double seconds) {
		return event(target, kind, seconds, 200);
	}

	private static Entry event(String target, EventKind kind, double seconds, int status) {
		return new Entry(target, new EngineEvent(kind, "r1", 0, nanos(seconds), 0, status, Double.POSITIVE_INFINITY));
	}

	/** Two engines took the request, the first of which broke it off. */
	private static Entry[] twoEngines(Entry... endOfSecond) {
		return Stream.concat(
				Stream.of(event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11), event(EventKind.BROKE_OFF, 11.4),
						event("t2", EventKind.RECEIVED, 11.5), event("t2", EventKind.STARTED, 11.5)),
				Stream.of(endOfSecond))
			.toArray(Entry[]::new);
	}

	private static SoakRequest request(boolean http10, String id, Map<String, String> headers, String body, End end,
			double sentSeconds, double endSeconds) {
		CallerMessage message = new CallerMessage("POST", "/texts/x", id, http10, "", "body", false, false, 1, 0, 0);
		CallerExchange exchange = new CallerExchange(200, headers, body, end, nanos(sentSeconds), nanos(sentSeconds),
				nanos(sentSeconds), nanos(endSeconds));
		return new SoakRequest("r1", SoakRequest.Kind.TEXT, 0, WORK, 15_000, false, message, exchange);
	}

	@Nested
	class Stops {

		private void check(double sentSeconds, double endSeconds, Entry... entries) {
			SoakChecksTests.this.history.add(new SoakHistory.Disturbance(0, nanos(10), nanos(20), true));
			new StopChecks(SoakChecksTests.this.history, new TargetRecords(Stream.of(entries)),
					SoakChecksTests.this.violations::add)
				.check(request(false, "r1", Map.of(), WORK.events("r1", 2), End.CLOSED, sentSeconds, endSeconds));
		}

		@Test
		void aCutStreamIsLost() {
			check(11, 13, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11), event(EventKind.CANCELLED, 13));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void aStreamOfWhichTheTargetHasSentAllIsLost() {
			check(11, 17.6, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11), event(EventKind.ENDED, 16));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void aStreamThatWasSentLateIsLostThoughItsTargetIsStillAtWork() {
			check(13.1, 17.6, event(EventKind.RECEIVED, 13.1), event(EventKind.STARTED, 13.1));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void aTargetAtWorkInTheLastSixthExcusesTheCut() {
			check(13, 17.6, event(EventKind.RECEIVED, 13), event(EventKind.STARTED, 13),
					event(EventKind.CANCELLED, 17.6));
			assertThat(SoakChecksTests.this.violations, empty());
		}

		@Test
		void aRunThatEndsAfterTheNextHasBegunIsNotTakenForIt() {
			check(11, 17.6, event(EventKind.STARTED, 11), event("t2", EventKind.STARTED, 11.5),
					event(EventKind.CANCELLED, 11.6), event(EventKind.RECEIVED, 11));
			assertThat(SoakChecksTests.this.violations, empty());
		}

		@Test
		void aSecondRunAtATargetIsNotEndedByTheEndOfTheFirst() {
			check(11, 17.6, event(EventKind.STARTED, 11), event(EventKind.STARTED, 15),
					event(EventKind.CANCELLED, 15.1), event(EventKind.RECEIVED, 11));
			assertThat(SoakChecksTests.this.violations, empty());
		}

		@Test
		void aTargetThatBreaksOffExcusesTheCut() {
			check(11, 13, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11), event(EventKind.BROKE_OFF, 13));
			assertThat(SoakChecksTests.this.violations, empty());
		}

		@Test
		void twoEnginesThatFailInAnyWayExcuseTheCut() {
			check(11, 13, twoEngines(event("t2", EventKind.ANSWERED, 12, 500), event("t2", EventKind.ENDED, 12)));
			assertThat(SoakChecksTests.this.violations, empty());
		}

		@Test
		void aSoundEngineBesideOneThatFailedLeavesTheCutLost() {
			check(11, 13, twoEngines(event("t2", EventKind.ANSWERED, 12), event("t2", EventKind.CANCELLED, 13)));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void anEngineCancelledForOneThatFailsLeavesTheCutLost() {
			check(11, 13, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11),
					event("t2", EventKind.RECEIVED, 11.9), event("t2", EventKind.STARTED, 12),
					event(EventKind.CANCELLED, 12.1), event("t2", EventKind.BROKE_OFF, 12.9));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@ParameterizedTest
		@CsvSource({ "11.2, 0", "11.21, 1" })
		void aRequestThatIsNotPassedOnMayCrossTheCloseFor200Ms(double endSeconds, int count) {
			check(11, endSeconds);
			assertThat(SoakChecksTests.this.violations, hasSize(count));
		}

		@ParameterizedTest
		@CsvSource({ "7.9, 0", "7.5, 1" })
		void aStallExcusesRequestsOfTheThreeSecondsAfterIt(double stallSeconds, int count) {
			SoakChecksTests.this.history
				.add(new SoakHistory.Disturbance(0, nanos(stallSeconds - 0.1), nanos(stallSeconds), false));
			check(10.8, 13, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11),
					event(EventKind.CANCELLED, 13));
			assertThat(SoakChecksTests.this.violations, hasSize(count));
		}

	}

	@Nested
	class EarlyEnds {

		private ResponseChecks checks;

		private void check(End end, double endSeconds, Entry... entries) {
			this.checks = new ResponseChecks(SoakChecksTests.this.history, new TargetRecords(Stream.of(entries)),
					SoakChecksTests.this.violations::add);
			this.checks.check(request(false, "r1", Map.of(), WORK.events("r1", 2), end, 11, endSeconds));
		}

		@ParameterizedTest
		@CsvSource({ "CLOSED, 13, 1", "RESET, 13, 1", "SILENT, 13, 1", "GAVE_UP, 13, 0", "COMPLETE, 13, 0",
				"CLOSED, 26, 0" })
		void areLostBeforeTheDeadlineWhileAnEngineIsAtWork(End end, double endSeconds, int count) {
			check(end, endSeconds, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11));
			assertThat(SoakChecksTests.this.violations, hasSize(count));
		}

		@ParameterizedTest
		@CsvSource({ "WAITING", "ENDED", "CANCELLED" })
		void areLostWithAnEngineThatHasNotFailed(String state) {
			check(End.CLOSED, 13, (state.equals("WAITING")) ? new Entry[] { event(EventKind.RECEIVED, 11) }
					: twoEngines(event("t2", EventKind.valueOf(state), 12)));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void areExcusedByFailuresOfEachEngine() {
			check(End.CLOSED, 13,
					twoEngines(event("t2", EventKind.ANSWERED, 12, 500), event("t2", EventKind.ENDED, 12)));
			assertThat(SoakChecksTests.this.violations, empty());
			assertThat(this.checks.excused(), is(Map.of("each engine failed", 1)));
		}

		@Test
		void areNotExcusedByAFailureAfterTheEnd() {
			check(End.CLOSED, 13, twoEngines(event("t2", EventKind.BROKE_OFF, 13.1)));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void areExcusedByADisturbanceOfTheGateway() {
			SoakChecksTests.this.history.add(new SoakHistory.Disturbance(0, nanos(12), nanos(12.5), false));
			check(End.CLOSED, 13, event(EventKind.RECEIVED, 11), event(EventKind.STARTED, 11));
			assertThat(SoakChecksTests.this.violations, empty());
		}

	}

	@Nested
	class Answers {

		private static final Map<String, String> SIGNED = Map.of("response-seal", "seal-t1-r1", "request-id", "r1");

		private void check(SoakRequest request) {
			new AnswerChecks(new TargetRecords(Stream.of(event(EventKind.ANSWERED, 1))),
					SoakChecksTests.this.violations::add)
				.check(request);
		}

		@ParameterizedTest
		@CsvSource({ "5, COMPLETE, 0", "2, COMPLETE, 1", "2, RESET, 0", "6, RESET, 1" })
		void aCutAnswerMustNotLookComplete(int events, End end, int count) {
			check(request(true, "r1", SIGNED, WORK.events("r1", events), end, 1, 2));
			assertThat(SoakChecksTests.this.violations, hasSize(count));
		}

		@Test
		void aCallerWithoutAnIdGetsNoSuccess() {
			check(request(false, "", SIGNED, WORK.events("r1", 5), End.COMPLETE, 1, 2));
			// Both the status and the id of another request are violations.
			assertThat(SoakChecksTests.this.violations, hasSize(2));
		}

		@Test
		void theStreamOfAnotherRequestIsNotPassedOn() {
			check(request(false, "r1", SIGNED, WORK.events("r2", 5), End.COMPLETE, 1, 2));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void aSuccessNeedsTheSignatureOfItsTarget() {
			check(request(false, "r1", Map.of(), WORK.events("r1", 5), End.COMPLETE, 1, 2));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

		@Test
		void bytesThatAreNoResponseAreReported() {
			check(request(false, "r1", SIGNED, "", End.MALFORMED, 1, 2));
			assertThat(SoakChecksTests.this.violations, hasSize(1));
		}

	}

}
