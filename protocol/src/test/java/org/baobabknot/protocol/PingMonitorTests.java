package org.baobabknot.protocol;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link PingMonitor}.
 */
class PingMonitorTests {

	private final PingMonitor monitor = new PingMonitor(ConnectionSettings.defaults(), 0);

	// Checks run every 100 ms; a longer gap is taken for a pause of this process.
	private PingMonitor.Action checkUntil(long from, long until) {
		PingMonitor.Action action = PingMonitor.Action.NONE;
		for (long at = from; at <= until; at += 100) {
			action = this.monitor.check(true, millis(at));
		}
		return action;
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Nested
	class Silence {

		// Guards against a connection that went silent being kept: design bound 1.5 s
		// after the first unanswered ping.
		@Test
		void losesTheConnectionWithoutAPong() {
			assertThat(PingMonitorTests.this.monitor.check(true, millis(500)), is(PingMonitor.Action.PING));
			PingMonitorTests.this.monitor.tryPing(millis(500));
			assertThat(checkUntil(600, 1900), is(PingMonitor.Action.PING));
			assertThat(checkUntil(2000, 2000), is(PingMonitor.Action.LOST));
		}

		// Guards against a connection that delivers in one direction only: frames of the
		// peer must not replace the pong.
		@Test
		void framesOfThePeerDoNotReplaceThePong() {
			PingMonitorTests.this.monitor.tryPing(millis(500));
			PingMonitorTests.this.monitor.received(millis(1990));
			checkUntil(600, 1900);
			assertThat(checkUntil(2000, 2000), is(PingMonitor.Action.LOST));
		}

	}

	@Nested
	class Traffic {

		// Guards against pings that cost more than the data on a connection that carries
		// streams all the time.
		@Test
		void frequentFramesPutThePingOff() {
			for (long at = 100; at < 2000; at += 100) {
				PingMonitorTests.this.monitor.received(millis(at));
				assertThat(PingMonitorTests.this.monitor.check(true, millis(at + 50)), is(PingMonitor.Action.NONE));
			}
		}

		// Guards against a connection whose outgoing direction is lost staying unnoticed
		// while frames arrive.
		@Test
		void pingsAtTheLongestIntervalAllTheSame() {
			checkUntil(100, 400);
			PingMonitorTests.this.monitor.received(millis(450));
			checkUntil(500, 900);
			PingMonitorTests.this.monitor.received(millis(910));
			checkUntil(1000, 1300);
			PingMonitorTests.this.monitor.received(millis(1350));
			checkUntil(1400, 1800);
			PingMonitorTests.this.monitor.received(millis(1850));
			assertThat(checkUntil(1900, 1900), is(PingMonitor.Action.NONE));
			assertThat(checkUntil(2000, 2000), is(PingMonitor.Action.PING));
		}

	}

}
