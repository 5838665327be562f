package org.baobabknot.daemon;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that entry and agent serve and stop when nobody reads their output any more.
 */
class BlockedOutputTests {

	private static final int SHUTDOWN_MS = 5_000;

	private static final long EXIT_SECONDS = 10;

	private static final int BLOCK_BYTES = 4_096;

	private static final long FULL_AFTER_MS = 300;

	@TempDir
	Path directory;

	private RandomAccessFile createOutput(String name) throws Exception {
		Path fifo = this.directory.resolve(name + ".log");
		new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor();
		return new RandomAccessFile(fifo.toFile(), "rw");
	}

	private static void fill(RandomAccessFile output) throws InterruptedException {
		AtomicInteger blocks = new AtomicInteger();
		Thread writer = new Thread(() -> {
			try {
				while (true) {
					output.write(new byte[BLOCK_BYTES]);
					blocks.incrementAndGet();
				}
			}
			catch (IOException ex) {
				// The test has ended.
				blocks.set(-1);
			}
		});
		writer.setDaemon(true);
		writer.start();
		int before = -1;
		while (blocks.get() != before) {
			before = blocks.get();
			Thread.sleep(FULL_AFTER_MS);
		}
	}

	private void assertServesAndStops(ProcessFixture fixture) throws Exception {
		assertThat(fixture.sendRequest().get(EXIT_SECONDS, TimeUnit.SECONDS).statusCode(), is(200));
		for (Process each : new Process[] { fixture.entry, fixture.agent }) {
			ProcessFixture.signal(each, "TERM");
			assertThat(each.waitFor(EXIT_SECONDS, TimeUnit.SECONDS), is(true));
			assertThat(each.exitValue(), is(0));
		}
	}

	@Test
	void aFullOutputDoesNotKeepThemFromServingAndStopping() throws Exception {
		RandomAccessFile entryOutput = createOutput("entry");
		RandomAccessFile agentOutput = createOutput("agent");
		try (ProcessFixture fixture = new ProcessFixture(this.directory, 0, SHUTDOWN_MS)) {
			fill(entryOutput);
			fill(agentOutput);
			assertServesAndStops(fixture);
		}
	}

	@Test
	void aClosedOutputDoesNotKeepThemFromServingAndStopping() throws Exception {
		RandomAccessFile entryOutput = createOutput("entry");
		RandomAccessFile agentOutput = createOutput("agent");
		try (ProcessFixture fixture = new ProcessFixture(this.directory, 0, SHUTDOWN_MS)) {
			entryOutput.close();
			agentOutput.close();
			assertServesAndStops(fixture);
		}
	}

}
