package org.baobabknot.gateway;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.daemon.SlowCaller;
import org.baobabknot.emulator.EmulatedCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a stop of a gateway breaks no whole response to a caller that reads slowly.
 */
class GatewaySlowCallerTests {

	private static final long SHUTDOWN_MS = 60_000;

	private static final long TIMEOUT_SECONDS = 90;

	private static final int BODY_BYTES = 4_000_000;

	// Guards against a close that discards bytes which wait for the caller.
	@Test
	void getWholeResponsesThroughAStop(@TempDir Path directory) throws Exception {
		try (GatewayProcess gateway = new GatewayProcess(directory, SHUTDOWN_MS)) {
			gateway.plainEngine().paddingBytes = BODY_BYTES;
			List<CompletableFuture<SlowCaller.Received>> responses = new ArrayList<>();
			for (String version : List.of("HTTP/1.0", "HTTP/1.1")) {
				String request = EmulatedCaller
					.request("GET", "/reads/x", "r" + version.charAt(version.length() - 1),
							EmulatedCaller.deadlineHeader(60_000), "")
					.replace("HTTP/1.1", version);
				responses.add(
						CompletableFuture.supplyAsync(() -> SlowCaller.exchange("127.0.0.1", gateway.port(), request)));
			}
			Thread.sleep(2_000);
			gateway.signal("TERM");
			for (CompletableFuture<SlowCaller.Received> each : responses) {
				SlowCaller.Received received = each.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
				assertThat(received.text(), containsString(" 200 OK"));
				assertThat(received.reset(), is(false));
				assertThat(gateway.log(), received.body().length(), greaterThanOrEqualTo(BODY_BYTES));
			}
			assertThat(gateway.awaitExit(SHUTDOWN_MS), is(true));
			assertThat(gateway.exitStatus(), is(0));
		}
	}

}
