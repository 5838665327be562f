package org.baobabknot.daemon;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a stop of entry and agent breaks no whole response to a caller that reads
 * slowly.
 */
class SlowCallerTests {

	private static final int SHUTDOWN_MS = 60_000;

	private static final long TIMEOUT_SECONDS = 90;

	private CompletableFuture<SlowCaller.Received> send(ProcessFixture fixture, String request) {
		return CompletableFuture.supplyAsync(() -> SlowCaller.exchange("127.0.0.1", fixture.callerPort(), request));
	}

	private static String request(String path) {
		return "POST /s" + path + " HTTP/1.1\r\nHost: host.example\r\nX-Workspace: w\r\nContent-Length: 4\r\n\r\nbody";
	}

	@Test
	void getWholeResponsesThroughAStop(@TempDir Path directory) throws Exception {
		try (FramedTarget target = new FramedTarget();
				ProcessFixture fixture = new ProcessFixture(directory, target.port(), SHUTDOWN_MS)) {
			CompletableFuture<SlowCaller.Received> length = send(fixture, request("/whole-length"));
			CompletableFuture<SlowCaller.Received> chunks = send(fixture, request("/whole-chunks"));
			Thread.sleep(1_000);
			ProcessFixture.signal(fixture.agent, "TERM");
			ProcessFixture.signal(fixture.entry, "TERM");
			assertThat(fixture.readLog("entry"), length.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).body().length(),
					is(FramedTarget.LARGE_BYTES));
			SlowCaller.Received chunked = chunks.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(chunked.hasLastChunk(), is(true));
			assertThat(chunked.body().length(), greaterThan(FramedTarget.LARGE_BYTES));
			assertThat(fixture.entry.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
			assertThat(fixture.entry.exitValue(), is(0));
		}
	}

}
