package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.oneOf;

/**
 * Tests of the memory that request bodies may use together. Without a limit a process ran
 * out of memory and closed connections without a response.
 */
class BodyMemoryTests {

	private static final long HEAP_BYTES = 8 << 20;

	/** A quarter of the heap, and the part of each body that is exempt. */
	private static final int MAX_BODIES_HELD = 10;

	private static final int BODY_BYTES = 256 << 10;

	private static final int CALLERS = 32;

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

	private final GatewayFixture fixture = new GatewayFixture(5_000, HEAP_BYTES);

	@AfterEach
	void stop() {
		this.callers.shutdownNow();
		this.fixture.close();
	}

	private CompletableFuture<Integer> send(int number) {
		return CompletableFuture.supplyAsync(() -> {
			try (EmulatedCaller caller = this.fixture.caller()) {
				return caller.sendAndRead("POST", "/orders/x", "r" + number, "", "b".repeat(BODY_BYTES)).status();
			}
			catch (Exception ex) {
				return -1;
			}
		}, this.callers);
	}

	@Test
	void bodiesWithoutRoomAreRefusedAsNotRun() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "plain", "a", "");
		engine.firstByteDelayMs = 1_000;
		engine.slots = CALLERS;
		this.fixture.start();
		this.fixture.configure(this.fixture.nextConfiguration().maxBodyBytes(BODY_BYTES).workspace("w", "key-1"));
		GatewayFixture.await(() -> this.fixture.gateway().limits().maxBodyBytes() == BODY_BYTES);
		List<CompletableFuture<Integer>> responses = new ArrayList<>();
		for (int number = 0; number < CALLERS; number++) {
			responses.add(send(number));
		}
		List<Integer> statuses = new ArrayList<>();
		for (CompletableFuture<Integer> response : responses) {
			statuses.add(response.get(20, TimeUnit.SECONDS));
		}
		assertThat(statuses, everyItem(is(oneOf(200, 503))));
		assertThat(engine.receivedRequests().size(), is(greaterThan(0)));
		assertThat((int) statuses.stream().filter((status) -> status == 200).count(),
				is(engine.receivedRequests().size()));
		assertThat(engine.receivedRequests().size(), is(lessThanOrEqualTo(MAX_BODIES_HELD)));
		assertThat("memory is free again", send(CALLERS).get(20, TimeUnit.SECONDS), is(200));
	}

}
