package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EndlessEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Guards against engines that send a response head or body without end.
 */
class EndlessResponseTests {

	/**
	 * Largest response that is buffered, and as much again in the buffers of two sockets.
	 */
	private static final long MAX_SENT_BYTES = 16 << 20;

	private static final long CALLER_TIMEOUT_MS = 1_500;

	private static final long TOLERANCE_MS = 500;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void assertEndlessResponseIsAborted(EndlessEngine.EndlessPart form, String path, String service,
			String model) throws Exception {
		try (EndlessEngine endless = new EndlessEngine(form)) {
			this.fixture.store.putTarget("endless", endless.storeEntry(service, model));
			this.fixture.start();
			GatewayFixture.await(() -> this.fixture.gateway().view().target("endless").isPresent());
			long startNanos = System.nanoTime();
			EmulatedCaller.Response response = this.fixture.call("POST", path, "r1",
					EmulatedCaller.modelHeaders(model, 100, 30) + EmulatedCaller.deadlineHeader(CALLER_TIMEOUT_MS));
			assertThat("ms until the response", (System.nanoTime() - startNanos) / 1_000_000,
					lessThan(CALLER_TIMEOUT_MS + TOLERANCE_MS));
			assertThat("a complete success", response.status() == 200 && response.complete(), is(false));
			assertThat("the connection is closed", endless.awaitClose(CALLER_TIMEOUT_MS), is(true));
			assertThat("bytes sent by the engine", endless.sentBytes(), lessThan(MAX_SENT_BYTES));
			this.fixture.store.removeTarget("endless");
			EmulatedEngine healthy = this.fixture.addEngine("sound", service, "a", model);
			this.fixture.store.putTarget(healthy, "ready");
			GatewayFixture.await(() -> this.fixture.gateway().view().target("sound").isPresent()
					&& this.fixture.gateway().view().target("endless").isEmpty());
			assertThat("status of the next request",
					this.fixture
						.call("POST", path, "r2",
								EmulatedCaller.modelHeaders(model, 100, 30)
										+ EmulatedCaller.deadlineHeader(CALLER_TIMEOUT_MS))
						.status(),
					is(200));
		}
	}

	@ParameterizedTest
	@EnumSource
	void anEndlessResponseOfAPlainServiceIsAborted(EndlessEngine.EndlessPart form) throws Exception {
		assertEndlessResponseIsAborted(form, "/orders/x", "plain", "");
	}

	@ParameterizedTest
	@EnumSource
	void anEndlessResponseOfAModelIsAborted(EndlessEngine.EndlessPart form) throws Exception {
		assertEndlessResponseIsAborted(form, "/texts/x", "models", GatewayFixture.MODEL);
	}

}
