package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.placement.TargetLoad;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

/**
 * Tests of targets that respond a second time when the next request on the connection has
 * arrived.
 */
class LateAnswerTests {

	private static final int REQUESTS = 6;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedEngine start(String service, String model) throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", service, "a", model);
		engine.lateDuplicates = true;
		this.fixture.start();
		return engine;
	}

	private EmulatedCaller.Response callWithoutId(String method) throws Exception {
		try (EmulatedCaller caller = this.fixture.caller()) {
			caller.send(EmulatedCaller.request(method, "/reads/x", "unused", "", "body")
				.replaceFirst("Request-Id: .*\r\n", ""));
			return caller.readResponse();
		}
	}

	/**
	 * A caller that sends no id got the answer to the request of another caller.
	 */
	@Nested
	class CallersWithoutAnId {

		@Test
		void getNoAnswerToAnotherRequest() throws Exception {
			start("plain", "");
			for (int number = 0; number < REQUESTS; number++) {
				String id = "secret" + number;
				assertThat(LateAnswerTests.this.fixture.call("GET", "/reads/x", id, "").body(),
						equalTo("answer to " + id));
				EmulatedCaller.Response response = callWithoutId("POST");
				assertThat(response.body(), not(containsString("secret")));
				assertThat(response.status(), not(200));
			}
		}

	}

	/**
	 * A request without an id made its target look full, so that others were refused.
	 */
	@Nested
	class InvalidRequests {

		@Test
		void doNotCountAsLoadOfTheirTarget() throws Exception {
			start("plain", "");
			assertThat(callWithoutId("POST").status(), is(400));
			Gateway gateway = LateAnswerTests.this.fixture.gateway();
			TargetLoad load = gateway.loop()
				.submit(() -> gateway.pooledTarget(gateway.view().target("t1").orElseThrow()).load())
				.get();
			assertThat(load.estimatedRequests(System.nanoTime()), lessThan(1.0));
		}

	}

	/**
	 * True refusals without an id ended as unknown outcomes, which callers may not
	 * repeat.
	 */
	@Nested
	class TrueRefusalsWithoutAnId {

		private int count(int status) throws Exception {
			int count = 0;
			for (int number = 0; number < REQUESTS; number++) {
				count += (LateAnswerTests.this.fixture.call("POST", "/orders/x", "o" + number, "").status() == status)
						? 1 : 0;
			}
			return count;
		}

		@Test
		void areNotRunOnceTheTargetIsKnownToSendThem() throws Exception {
			EmulatedEngine engine = start("plain", "");
			engine.lateDuplicates = false;
			engine.refusalsCarryIds = false;
			assertThat(count(200), is(REQUESTS));
			engine.refusesRequests = true;
			assertThat(count(503), greaterThanOrEqualTo(REQUESTS - 1));
			assertThat(count(503), is(REQUESTS));
			engine.refusesRequests = false;
			assertThat(count(200), is(REQUESTS));
		}

	}

	/**
	 * The success of a CONNECT request reached its caller without a body, and its bytes
	 * met the next request on the connection.
	 */
	@Nested
	class Tunnels {

		@Test
		void areRefusedAndDisturbNoOtherRequest() throws Exception {
			EmulatedEngine engine = start("plain", "");
			engine.lateDuplicates = false;
			for (int number = 0; number < REQUESTS; number++) {
				String id = "read" + number;
				assertThat(LateAnswerTests.this.fixture.call("CONNECT", "/reads/x", "tunnel" + number, "").status(),
						is(405));
				assertThat(LateAnswerTests.this.fixture.call("GET", "/reads/x", id, "").body(),
						equalTo("answer to " + id));
			}
		}

	}

	/**
	 * A refusal of an earlier request was taken for that of a request that ran, which was
	 * then reported as not run, or run again.
	 */
	@Nested
	class RefusalsWithoutAnId {

		@Test
		void areNotTakenForThatOfTheNextRequest() throws Exception {
			EmulatedEngine engine = start("plain", "");
			engine.refusalsCarryIds = false;
			for (int number = 0; number < REQUESTS; number++) {
				engine.refusesRequests = true;
				assertThat(LateAnswerTests.this.fixture.call("POST", "/orders/x", "refused" + number, "").status(),
						is(503));
				engine.refusesRequests = false;
				String id = "order" + number;
				int status = LateAnswerTests.this.fixture.call("POST", "/orders/x", id, "").status();
				assertThat(status, is(200));
				long runs = engine.events()
					.stream()
					.filter((event) -> event.kind() == EmulatedEngine.EventKind.STARTED && event.requestId().equals(id))
					.count();
				assertThat(id + " ran " + runs + " times and got " + status, runs == 0 || runs == 1 && status != 503,
						is(true));
			}
		}

	}

}
