package org.baobabknot.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link StallDetector}.
 */
class StallDetectorTests {

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(this.ticker).build();

	private final AtomicInteger stalls = new AtomicInteger();

	private final StallDetector detector = new StallDetector(this.channel.eventLoop(), this.stalls::incrementAndGet);

	@BeforeEach
	void start() {
		this.detector.start();
	}

	private void run(long ms) {
		for (long count = 0; count < ms; count++) {
			this.ticker.advance(1, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	@Nested
	class Starts {

		@Test
		void countAsTheEndOfAStall() {
			assertThat(StallDetectorTests.this.detector.messagesMayWait(), is(true));
			assertThat(StallDetectorTests.this.stalls.get(), is(1));
			run(StallDetector.SETTLING_MS);
			assertThat(StallDetectorTests.this.detector.messagesMayWait(), is(false));
		}

	}

	@Nested
	class RunningLoops {

		@Test
		void areNoStall() {
			run(2_000);
			assertThat(StallDetectorTests.this.detector.messagesMayWait(), is(false));
			assertThat(StallDetectorTests.this.stalls.get(), is(1));
		}

	}

	@Nested
	class StandingLoops {

		/** What is read first after a freeze comes before any timer. */
		@Test
		void areNoticedBeforeTheirTimersRun() {
			run(1_000);
			StallDetectorTests.this.ticker.advance(500, TimeUnit.MILLISECONDS);
			assertThat(StallDetectorTests.this.detector.messagesMayWait(), is(true));
			assertThat(StallDetectorTests.this.stalls.get(), is(2));
		}

		@Test
		void areNoticedOnceAndForAShortTime() {
			run(1_000);
			StallDetectorTests.this.ticker.advance(500, TimeUnit.MILLISECONDS);
			run(1);
			assertThat(StallDetectorTests.this.detector.messagesMayWait(), is(true));
			run(StallDetector.SETTLING_MS);
			assertThat(StallDetectorTests.this.detector.messagesMayWait(), is(false));
			assertThat(StallDetectorTests.this.stalls.get(), is(2));
		}

	}

}
