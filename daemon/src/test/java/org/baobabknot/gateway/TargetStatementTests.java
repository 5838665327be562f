package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests over sockets of what targets state about themselves in their responses.
 */
class TargetStatementTests {

	private static final int REQUESTS = 20;

	private static final int MANY_TARGETS = 60;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedEngine addTarget(String id) {
		return this.fixture.addEngine(id, "plain", "a", "");
	}

	private int served(int count, String prefix) throws Exception {
		int served = 0;
		for (int number = 0; number < count; number++) {
			served += (this.fixture.call("GET", "/reads/x", prefix + number, "").status() == 200) ? 1 : 0;
		}
		return served;
	}

	@Nested
	class Leaving {

		@Test
		void aTargetThatStatesItLeavesGetsNoFurtherRequest() throws Exception {
			EmulatedEngine leaving = addTarget("t1");
			addTarget("t2");
			leaving.statesLeaving = true;
			TargetStatementTests.this.fixture.start();
			while (leaving.receivedRequests().isEmpty()) {
				served(1, "first");
			}
			int received = leaving.receivedRequests().size();
			assertThat(served(REQUESTS, "r"), is(REQUESTS));
			assertThat(leaving.receivedRequests().size(), is(received));
		}

		@Test
		void anOlderListDoesNotBringItBack() throws Exception {
			EmulatedEngine leaving = addTarget("t1");
			leaving.statesLeaving = true;
			TargetStatementTests.this.fixture.start();
			served(1, "first");
			TargetStatementTests.this.fixture.store.removeTarget(leaving.id());
			GatewayFixture.await(() -> TargetStatementTests.this.fixture.gateway().view().target("t1").isEmpty());
			TimeUnit.MILLISECONDS.sleep(1_200);
			TargetStatementTests.this.fixture.store.putTarget(leaving, "ready");
			GatewayFixture.await(() -> TargetStatementTests.this.fixture.gateway().view().target("t1").isPresent());
			EmulatedCaller.Response response = TargetStatementTests.this.fixture.call("GET", "/reads/x", "later", "");
			assertThat(response.status(), is(503));
			assertThat(leaving.receivedRequests().size(), is(1));
		}

		@Test
		void requestsThatWaitForAConnectionAreNotSent() throws Exception {
			EmulatedEngine leaving = addTarget("t1");
			leaving.statesLeaving = true;
			leaving.firstByteDelayMs = 300;
			TargetStatementTests.this.fixture.start();
			TargetStatementTests.this.fixture
				.configure(new EmulatedConfiguration(2).route("reads", "safe", "plain", 2_000)
					.plainService("plain", 1)
					.workspace("w", "key-1"));
			GatewayFixture
				.await(() -> GatewayFleet.configurationVersion(TargetStatementTests.this.fixture.gateway()) == 2);
			CompletableFuture<EmulatedCaller.Response> first = TargetStatementTests.this.fixture.callAsync("GET",
					"/reads/x", "first", "");
			GatewayFixture.await(() -> leaving.receivedRequests().size() == 1);
			assertThat(TargetStatementTests.this.fixture.call("GET", "/reads/x", "second", "").status(), is(503));
			assertThat(first.get(10, TimeUnit.SECONDS).status(), is(200));
			assertThat(leaving.receivedRequests().size(), is(1));
		}

	}

	@Nested
	class Limit {

		@Test
		void isLoggedWhenItBeginsAndEnds() throws Exception {
			EmulatedEngine limited = addTarget("t1");
			limited.limitPerSecond = "1.7";
			TargetStatementTests.this.fixture.start();
			served(1, "first");
			awaitLine("\"event\":\"limit-stated\"", "\"perSecond\":\"1.7\"");
			limited.limitPerSecond = "";
			TimeUnit.MILLISECONDS.sleep(1_100);
			served(1, "second");
			awaitLine("\"event\":\"limit-lifted\"", "\"perSecond\":\"Infinity\"");
		}

		@ParameterizedTest
		@ValueSource(strings = { "-3", "many", "NaN" })
		void thatIsNoNumberIsLoggedOnceAndIgnored(String value) throws Exception {
			addTarget("t1").limitPerSecond = value;
			TargetStatementTests.this.fixture.start();
			assertThat(served(REQUESTS, "r"), is(REQUESTS));
			awaitLine("\"event\":\"statement-unread\"", "\"statement\":\"limit\"");
			assertThat(TargetStatementTests.this.fixture.logOutput.toString().split("statement-unread").length, is(2));
		}

		@Test
		void thatManyTargetsHaveUsedUpIsFoundOutAtOnce() throws Exception {
			for (int number = 0; number < MANY_TARGETS; number++) {
				addTarget("t" + number).limitPerSecond = "0";
			}
			TargetStatementTests.this.fixture.start();
			served(4 * MANY_TARGETS, "first");
			int before = received();
			EmulatedCaller.Response refused = TargetStatementTests.this.fixture.call("GET", "/reads/x", "r", "");
			assertThat(refused.status(), is(503));
			assertThat(refused.body(), containsString("limited"));
			assertThat(received(), is(before));
		}

		private int received() {
			return TargetStatementTests.this.fixture.engines.stream()
				.mapToInt((engine) -> engine.receivedRequests().size())
				.sum();
		}

		private void awaitLine(String event, String field) throws InterruptedException {
			GatewayFixture.await(() -> TargetStatementTests.this.fixture.logOutput.toString()
				.lines()
				.anyMatch((line) -> line.contains(event) && line.contains(field)));
		}

	}

	@Nested
	class Rest {

		@Test
		void aTargetThatAsksForRestGetsNothingUntilItIsOver() throws Exception {
			EmulatedEngine resting = addTarget("t1");
			resting.refusesRequests = true;
			resting.restSeconds = "1.5";
			TargetStatementTests.this.fixture.start();
			assertThat(served(1, "first"), is(0));
			resting.refusesRequests = false;
			EmulatedCaller.Response refused = TargetStatementTests.this.fixture.call("GET", "/reads/x", "r",
					EmulatedCaller.deadlineHeader(10_000));
			assertThat(refused.status(), is(503));
			assertThat(Double.parseDouble(refused.headers().get("retry-after")), greaterThan(1.0));
			assertThat(resting.receivedRequests().size(), is(1));
			TimeUnit.MILLISECONDS.sleep(1_600);
			assertThat(served(1, "later"), is(1));
		}

		@Test
		void theOtherTargetsServeMeanwhile() throws Exception {
			EmulatedEngine resting = addTarget("t1");
			addTarget("t2");
			resting.refusesRequests = true;
			resting.restSeconds = "30";
			TargetStatementTests.this.fixture.start();
			assertThat(served(REQUESTS, "r"), is(REQUESTS));
			int received = resting.receivedRequests().size();
			assertThat(served(REQUESTS, "s"), is(REQUESTS));
			assertThat(resting.receivedRequests().size(), is(received));
		}

		@ParameterizedTest
		@ValueSource(strings = { "-3", "soon", "Sat, 05 Dec 2026 14:00:00 GMT", "1e9", "0" })
		void aValueThatIsNoTimeIsIgnored(String value) throws Exception {
			EmulatedEngine engine = addTarget("t1");
			engine.refusesRequests = true;
			engine.restSeconds = value;
			TargetStatementTests.this.fixture.start();
			served(1, "first");
			engine.refusesRequests = false;
			TimeUnit.MILLISECONDS.sleep(500);
			assertThat(served(5, "r"), greaterThanOrEqualTo(1));
		}

	}

}
