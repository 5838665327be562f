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
 * Guards against an engine whose answer never ends, in its head or its body.
 */
class EndlessAnswerTests {

	/**
	 * Largest answer that is kept whole, and as much again in the buffers of two sockets.
	 */
	private static final long MOST_BYTES = 16 << 20;

	private static final long WAITS_MS = 1_500;

	private static final long LATE_MS = 500;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void check(EndlessEngine.Form form, String path, String service, String model) throws Exception {
		try (EndlessEngine endless = new EndlessEngine(form)) {
			this.fixture.store.list("endless", endless.entry(service, model));
			this.fixture.start();
			GatewayFixture.await(() -> this.fixture.gateway().view().target("endless").isPresent());
			long began = System.nanoTime();
			EmulatedCaller.Answer answer = this.fixture.call("POST", path, "r1",
					EmulatedCaller.model(model, 100, 30) + EmulatedCaller.waits(WAITS_MS));
			assertThat("ms until the answer", (System.nanoTime() - began) / 1_000_000, lessThan(WAITS_MS + LATE_MS));
			assertThat("a whole success", answer.status() == 200 && answer.whole(), is(false));
			assertThat("the connection is closed", endless.awaitClose(WAITS_MS), is(true));
			assertThat("bytes taken", endless.sent(), lessThan(MOST_BYTES));
			this.fixture.store.unlist("endless");
			EmulatedEngine sound = this.fixture.engine("sound", service, "a", model);
			this.fixture.store.list(sound, "ready");
			GatewayFixture.await(() -> this.fixture.gateway().view().target("sound").isPresent()
					&& this.fixture.gateway().view().target("endless").isEmpty());
			assertThat("the next request",
					this.fixture
						.call("POST", path, "r2", EmulatedCaller.model(model, 100, 30) + EmulatedCaller.waits(WAITS_MS))
						.status(),
					is(200));
		}
	}

	@ParameterizedTest
	@EnumSource
	void ofAPlainServiceIsGivenUp(EndlessEngine.Form form) throws Exception {
		check(form, "/orders/x", "plain", "");
	}

	@ParameterizedTest
	@EnumSource
	void ofAModelIsGivenUp(EndlessEngine.Form form) throws Exception {
		check(form, "/texts/x", "models", GatewayFixture.MODEL);
	}

}
