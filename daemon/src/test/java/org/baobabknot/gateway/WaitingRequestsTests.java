package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Guards against requests that wait for a connection and are sent to their target long
 * after it was reported that it gets no more.
 */
class WaitingRequestsTests {

	private static final long RESPONSE_MS = 2_500;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	/** How it is reported that a target gets no more requests. */
	enum Report {

		LEAVING((store, target) -> store.putTarget(target, "draining")),

		REMOVED((store, target) -> store.removeTarget(target.id())),

		DOMAIN_OUT((store, target) -> store.setDomainOut("a", true));

		private final BiConsumer<EmulatedStore, EmulatedEngine> writer;

		Report(BiConsumer<EmulatedStore, EmulatedEngine> writer) {
			this.writer = writer;
		}

	}

	private CompletableFuture<EmulatedCaller.Response> send(String id) {
		return this.fixture.callAsync("POST", "/orders/x", id, EmulatedCaller.deadlineHeader(9_000));
	}

	private void start() throws Exception {
		this.fixture.start();
		this.fixture.configure(new EmulatedConfiguration(2).route("orders", "unsafe", "plain", 9_000)
			.plainService("plain", 1)
			.workspace("w", "key-1"));
		GatewayFixture.await(() -> GatewayFleet.configurationVersion(this.fixture.gateway()) == 2);
		// The number of connections is adjusted from time to time.
		TimeUnit.MILLISECONDS.sleep(600);
	}

	@ParameterizedTest
	@EnumSource(Report.class)
	void goToAnotherTarget(Report report) throws Exception {
		EmulatedEngine first = this.fixture.addEngine("t1", "plain", "a", "");
		first.firstByteDelayMs = RESPONSE_MS;
		start();
		CompletableFuture<EmulatedCaller.Response> running = send("r1");
		GatewayFixture.await(() -> first.receivedRequests().size() == 1);
		List<CompletableFuture<EmulatedCaller.Response>> waiting = List.of(send("r2"), send("r3"));
		TimeUnit.MILLISECONDS.sleep(100);
		EmulatedEngine second = this.fixture.addEngine("t2", "plain", "b", "");
		this.fixture.store.putTarget(second, "ready");
		GatewayFixture.await(() -> this.fixture.gateway().view().target("t2").isPresent());
		long reportedNanos = System.nanoTime();
		report.writer.accept(this.fixture.store, first);
		for (CompletableFuture<EmulatedCaller.Response> response : waiting) {
			assertThat(response.get(15, TimeUnit.SECONDS).status(), is(200));
		}
		long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reportedNanos);
		assertThat("time from the report to the responses in ms", tookMs, lessThan(RESPONSE_MS - 200));
		assertThat(running.get(15, TimeUnit.SECONDS).status(), is(200));
		assertThat(first.receivedRequests().size(), is(1));
		assertThat(second.receivedRequests().size(), is(2));
	}

}
