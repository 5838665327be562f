package org.baobabknot.observe;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link DecisionLog}.
 */
class DecisionLogTests {

	private static final int LINES = 2_000;

	@Test
	void successesNeverSuppressFailures() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog("i", output);
		for (int count = 0; count < LINES; count++) {
			log.line(DecisionLog.Importance.SUCCESS, "served").with("n", count).write();
		}
		log.line(DecisionLog.Importance.FAILURE, "refused").with("request", "r1").write();
		Thread.sleep(1_100);
		log.line(DecisionLog.Importance.STATE, "later").write();
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!output.toString().contains("later") && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		assertThat(output.toString(), containsString("\"request\":\"r1\""));
		assertThat(output.toString(), containsString("lines-suppressed"));
		assertThat((int) output.toString().lines().count(), lessThan(100));
	}

	@Test
	void flushWaitsForAllLinesOfTheProcessEnd() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog("i", output);
		for (int count = 0; count < LINES; count++) {
			log.line(DecisionLog.Importance.PROCESS_END, "request-ended").with("n", count).write();
		}
		assertThat(log.flush(10_000), is(true));
		assertThat((int) output.toString().lines().count(), is(LINES));
	}

	@Test
	void flushOfABlockedOutputEndsInTime() {
		CountDownLatch stuck = new CountDownLatch(1);
		DecisionLog log = new DecisionLog("i", new OutputStream() {
			@Override
			public void write(int value) {
				try {
					stuck.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		});
		log.line(DecisionLog.Importance.PROCESS_END, "stopped").write();
		long start = System.nanoTime();
		assertThat(log.flush(100), is(false));
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start), lessThan(5_000L));
		stuck.countDown();
	}

	@Test
	void aBlockedOutputDoesNotBlockCallers() throws Exception {
		CountDownLatch stuck = new CountDownLatch(1);
		DecisionLog log = new DecisionLog("i", new OutputStream() {
			@Override
			public void write(int value) {
				try {
					stuck.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		});
		long start = System.nanoTime();
		for (int second = 0; second < 8; second++) {
			for (int count = 0; count < 100; count++) {
				log.line(DecisionLog.Importance.FAILURE, "refused").write();
				log.line(DecisionLog.Importance.STATE, "changed").write();
			}
			Thread.sleep(1_010);
		}
		long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
		assertThat(tookMs, lessThan(20_000L));
		assertThat(log.droppedLines(), greaterThan(0L));
		stuck.countDown();
	}

}
