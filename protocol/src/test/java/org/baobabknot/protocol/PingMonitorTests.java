package org.baobabknot.protocol;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link PingMonitor}.
 */
class PingMonitorTests {

	private final PingMonitor monitor = new PingMonitor(ConnectionSettings.defaults(), 0);

	// Checks every 100 ms; a gap of more than 1 s would be treated as a pause of this
	// process.
	private PingMonitor.Action checkUntil(long fromMs, long untilMs) {
		PingMonitor.Action action = PingMonitor.Action.NONE;
		for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
			action = this.monitor.check(true, nanosOfMillis(nowMs));
		}
		return action;
	}

	private static long nanosOfMillis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Nested
	class Silence {

		// Guards against keeping a silent connection for more than 1.5 s (the design
		// limit) after the first ping without a pong.
		@Test
		void losesTheConnectionWithoutAPong() {
			assertThat(PingMonitorTests.this.monitor.check(true, nanosOfMillis(500)), is(PingMonitor.Action.PING));
			PingMonitorTests.this.monitor.recordPing(nanosOfMillis(500));
			assertThat(checkUntil(600, 1900), is(PingMonitor.Action.PING));
			assertThat(checkUntil(2000, 2000), is(PingMonitor.Action.LOST));
		}

		// Guards against keeping a connection that delivers in one direction only: other
		// frames of the peer must not replace the pong.
		@Test
		void framesOfThePeerDoNotReplaceThePong() {
			PingMonitorTests.this.monitor.recordPing(nanosOfMillis(500));
			PingMonitorTests.this.monitor.recordReceived(nanosOfMillis(1990));
			checkUntil(600, 1900);
			assertThat(checkUntil(2000, 2000), is(PingMonitor.Action.LOST));
		}

		// Guards against losing a peer whose pong waits in the socket while this process
		// stalls.
		@Test
		void doesNotCountTheTimeInWhichThisProcessStalled() {
			PingMonitorTests.this.monitor.recordPing(nanosOfMillis(500));
			checkUntil(600, 1400);
			assertThat(checkUntil(2300, 2300), is(not(PingMonitor.Action.LOST)));
			assertThat(checkUntil(2400, 2400), is(not(PingMonitor.Action.LOST)));
			assertThat(checkUntil(2500, 2500), is(PingMonitor.Action.LOST));
		}

	}

	@Nested
	class Traffic {

		// Guards against pings that cost more than the data on a connection with constant
		// traffic.
		@Test
		void frequentFramesPostponeThePing() {
			for (long nowMs = 100; nowMs < 2000; nowMs += 100) {
				PingMonitorTests.this.monitor.recordReceived(nanosOfMillis(nowMs));
				assertThat(PingMonitorTests.this.monitor.check(true, nanosOfMillis(nowMs + 50)),
						is(PingMonitor.Action.NONE));
			}
		}

		// Guards against missing the loss of the outgoing direction while frames of the
		// peer arrive.
		@Test
		void pingsAtTheMaximumIntervalDespiteFrames() {
			checkUntil(100, 400);
			PingMonitorTests.this.monitor.recordReceived(nanosOfMillis(450));
			checkUntil(500, 900);
			PingMonitorTests.this.monitor.recordReceived(nanosOfMillis(910));
			checkUntil(1000, 1300);
			PingMonitorTests.this.monitor.recordReceived(nanosOfMillis(1350));
			checkUntil(1400, 1800);
			PingMonitorTests.this.monitor.recordReceived(nanosOfMillis(1850));
			assertThat(checkUntil(1900, 1900), is(PingMonitor.Action.NONE));
			assertThat(checkUntil(2000, 2000), is(PingMonitor.Action.PING));
		}

	}

}
