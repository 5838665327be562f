package org.baobabknot.link;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link LinkDelay} with a simulated clock.
 */
class LinkDelayTests {

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final LinkDelay delay = new LinkDelay();

	private void echo(long sentMs, long roundTripMs) {
		this.delay.recordEcho(this.delay.recordSent(sentMs * NANOS_PER_MS), (sentMs + roundTripMs) * NANOS_PER_MS);
	}

	@Nested
	class Echoes {

		@Test
		void theDelayIsZeroBeforeTheFirstEcho() {
			assertThat(LinkDelayTests.this.delay.delayMs(0), is(0.0));
			LinkDelayTests.this.delay.recordSent(0);
			assertThat(LinkDelayTests.this.delay.delayMs(50 * NANOS_PER_MS), is(0.0));
		}

		@Test
		void oneSlowPeerDoesNotRaiseTheDelay() {
			echo(0, 2);
			echo(50, 300);
			assertThat(LinkDelayTests.this.delay.delayMs(350 * NANOS_PER_MS), is(2.0));
		}

		@Test
		void aSaturatedLinkDelaysAllEchoes() {
			echo(0, 2);
			echo(50, 400);
			echo(100, 420);
			assertThat(LinkDelayTests.this.delay.delayMs(520 * NANOS_PER_MS), is(400.0));
			echo(600, 3);
			assertThat(LinkDelayTests.this.delay.delayMs(603 * NANOS_PER_MS), is(3.0));
		}

		@Test
		void aLateEchoOfAnOlderProbeIsIgnored() {
			long first = LinkDelayTests.this.delay.recordSent(0);
			long second = LinkDelayTests.this.delay.recordSent(50 * NANOS_PER_MS);
			LinkDelayTests.this.delay.recordEcho(second, 52 * NANOS_PER_MS);
			LinkDelayTests.this.delay.recordEcho(first, 900 * NANOS_PER_MS);
			assertThat(LinkDelayTests.this.delay.delayMs(900 * NANOS_PER_MS), is(2.0));
		}

	}

	@Nested
	class MissingEchoes {

		@Test
		void pendingProbesRaiseTheDelayBeforeTheirEcho() {
			echo(0, 2);
			for (int sentMs = 50; sentMs <= 500; sentMs += 50) {
				LinkDelayTests.this.delay.recordSent(sentMs * NANOS_PER_MS);
			}
			assertThat(LinkDelayTests.this.delay.delayMs(500 * NANOS_PER_MS), greaterThanOrEqualTo(300.0));
			assertThat(LinkDelayTests.this.delay.peersUnresponsive(), is(true));
		}

		@Test
		void twoLostProbesDoNotRaiseTheDelay() {
			echo(0, 2);
			LinkDelayTests.this.delay.recordSent(50 * NANOS_PER_MS);
			LinkDelayTests.this.delay.recordSent(100 * NANOS_PER_MS);
			assertThat(LinkDelayTests.this.delay.delayMs(900 * NANOS_PER_MS), lessThan(10.0));
		}

		@Test
		void theDelayIsBounded() {
			for (int sentMs = 0; sentMs <= 20_000; sentMs += 50) {
				LinkDelayTests.this.delay.recordSent(sentMs * NANOS_PER_MS);
			}
			assertThat(LinkDelayTests.this.delay.delayMs(20_000 * NANOS_PER_MS), is(LinkDelay.MAX_DELAY_MS));
		}

	}

}
