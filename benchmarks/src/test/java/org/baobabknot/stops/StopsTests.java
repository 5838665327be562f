package org.baobabknot.stops;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.ProcessLauncher;
import org.baobabknot.stops.StopRequest.Framing;
import org.baobabknot.stops.StopRequest.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Short stops with a fixed seed, and the counting of what callers lose. {@code
 * ./experiment stops --stops N} runs more.
 */
class StopsTests {

	private static final int STOPS = 4;

	private static final int GATEWAYS = 4;

	@Nested
	class Runs {

		@Test
		void callersLoseNothing(@TempDir Path folder) throws Exception {
			try (ProcessLauncher launcher = new ProcessLauncher(folder)) {
				ExperimentResult result = new StopsExperiment().run(1, STOPS, GATEWAYS, false,
						new ExperimentContext(launcher, new PrintStream(System.err, true)));
				assertThat(result.figures().toString(), result.allChecksPassed(), is(true));
			}
		}

	}

	@Nested
	class Counting {

		private static final StopPlan PLAN = new StopPlan(0, -1, 0, -1, -1);

		private static final long END_MS = 7_600;

		private boolean isLost(long sentMs, long endedMs, long targetEndsMs) {
			StopRequest request = new StopRequest("r1", Kind.LONG_STREAM, Framing.LENGTH, 0, true);
			request.beganNanos = nanos(sentMs);
			request.sentNanos = nanos(sentMs);
			request.endedNanos = nanos(endedMs);
			StopTally tally = new StopTally(
					(targetEndsMs < 0) ? Map.of() : Map.of("r1", new StopTally.TargetRun(nanos(targetEndsMs))));
			tally.add(new StopRecord(0, PLAN, nanos(0), nanos(END_MS), false, ""), List.of(request));
			return !tally.nothingLost();
		}

		// Offset because 0 stands for a request that was not sent.
		private static long nanos(long ms) {
			return TimeUnit.MILLISECONDS.toNanos(100_000 + ms);
		}

		@Test
		void aRequestThatATargetHadIsLost() {
			assertThat(isLost(2_000, 2_050, 3_000), is(true));
		}

		@Test
		void aConnectionThatEndsLateLosesItsRequest() {
			assertThat(isLost(2_000, 2_201, -1), is(true));
		}

		@Test
		void aRequestThatCrossesACloseIsNotLost() {
			assertThat(isLost(2_000, 2_199, -1), is(false));
		}

		@Test
		void aTargetThatRunsInTheLastSixthExcusesACutUnlessTheRequestCameLate() {
			assertThat(isLost(2_900, 7_600, 6_700), is(false));
			assertThat(isLost(2_900, 7_600, 6_600), is(true));
			assertThat(isLost(3_100, 7_600, 7_000), is(true));
		}

		@Test
		void aDeadlineThatIsReachedExcusesAnyEnd() {
			assertThat(isLost(-100, 5_950, 3_000), is(false));
		}

	}

}
