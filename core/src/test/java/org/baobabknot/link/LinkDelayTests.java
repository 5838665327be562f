package org.baobabknot.link;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of the delay of a link, on a clock that the tests advance.
 */
class LinkDelayTests {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final LinkDelay delay = new LinkDelay();

	private void echo(long atMs, long roundTripMs) {
		this.delay.echoed(this.delay.sent(atMs * MS), (atMs + roundTripMs) * MS);
	}

	@Nested
	class Echoes {

		@Test
		void nothingIsKnownBeforeTheFirstEcho() {
			assertThat(LinkDelayTests.this.delay.delayMs(0), is(0.0));
			LinkDelayTests.this.delay.sent(0);
			assertThat(LinkDelayTests.this.delay.delayMs(50 * MS), is(0.0));
		}

		@Test
		void oneSlowPeerShowsNothing() {
			echo(0, 2);
			echo(50, 300);
			assertThat(LinkDelayTests.this.delay.delayMs(350 * MS), is(2.0));
		}

		@Test
		void aFullLinkShowsInAllEchoes() {
			echo(0, 2);
			echo(50, 400);
			echo(100, 420);
			assertThat(LinkDelayTests.this.delay.delayMs(520 * MS), is(400.0));
			echo(600, 3);
			assertThat(LinkDelayTests.this.delay.delayMs(603 * MS), is(3.0));
		}

		@Test
		void aLateEchoOfAnOlderProbeChangesNothing() {
			long first = LinkDelayTests.this.delay.sent(0);
			long second = LinkDelayTests.this.delay.sent(50 * MS);
			LinkDelayTests.this.delay.echoed(second, 52 * MS);
			LinkDelayTests.this.delay.echoed(first, 900 * MS);
			assertThat(LinkDelayTests.this.delay.delayMs(900 * MS), is(2.0));
		}

	}

	@Nested
	class Silence {

		@Test
		void probesThatStayAwayCountBeforeTheirEcho() {
			echo(0, 2);
			for (int at = 50; at <= 500; at += 50) {
				LinkDelayTests.this.delay.sent(at * MS);
			}
			assertThat(LinkDelayTests.this.delay.delayMs(500 * MS), greaterThanOrEqualTo(300.0));
			assertThat(LinkDelayTests.this.delay.unanswered(), is(true));
		}

		@Test
		void twoLostProbesShowNothing() {
			echo(0, 2);
			LinkDelayTests.this.delay.sent(50 * MS);
			LinkDelayTests.this.delay.sent(100 * MS);
			assertThat(LinkDelayTests.this.delay.delayMs(900 * MS), lessThan(10.0));
		}

		@Test
		void theDelayIsBounded() {
			for (int at = 0; at <= 20_000; at += 50) {
				LinkDelayTests.this.delay.sent(at * MS);
			}
			assertThat(LinkDelayTests.this.delay.delayMs(20_000 * MS), is(LinkDelay.MOST_MS));
		}

	}

}
