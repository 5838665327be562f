package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.fleet.TargetRecord;

/**
 * Fixture of requests with a part of their prompts under which other targets have
 * crashed.
 */
abstract class SuspectedStreams extends PausedStreams {

	private static final String PART = "50d1";

	static final long TIMEOUT_SECONDS = 10;

	/** Crashes closer to each other have one common cause. */
	private static final long CRASH_INTERVAL_MS = 50;

	final void reportCrashes(int crashes) throws Exception {
		Gateway gateway = this.fixture.gateway();
		for (int index = 0; index < crashes; index++) {
			TargetRecord crashed = new TargetRecord("crashed-" + index, "models", "127.0.0.1", 9, "a", 16, false, 0, 1,
					List.of());
			gateway.loop()
				.submit(() -> gateway.requestGuard().recordCrash(crashed, List.of(Long.parseLong(PART, 16)), false))
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Thread.sleep(CRASH_INTERVAL_MS);
		}
	}

	final CompletableFuture<EmulatedCaller.Response> callWithPart() {
		return this.fixture.callAsync("POST", "/texts/x", "r1",
				EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30) + EmulatedCaller.promptHeader(PART, "1")
						+ EmulatedCaller.deadlineHeader(5_000));
	}

}
