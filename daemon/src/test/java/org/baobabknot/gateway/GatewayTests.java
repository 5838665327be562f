package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of the gateway over sockets, with emulated targets and an emulated store.
 */
class GatewayTests {

	private static final long TIMEOUT_SECONDS = 15;

	private GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedEngine addPlainTarget(String id, String domain) {
		return this.fixture.addEngine(id, "plain", domain, "");
	}

	private EmulatedEngine addModelTarget(String id, String domain) {
		return this.fixture.addEngine(id, "models", domain, GatewayFixture.MODEL);
	}

	private static String eventText(int first, int end) {
		StringBuilder text = new StringBuilder();
		for (int number = first; number < end; number++) {
			text.append("id: ").append(number).append("\ndata: e").append(number).append("\n\n");
		}
		return text.toString();
	}

	@Nested
	class Responses {

		@Test
		void aRequestAndItsResponseArePassedOnUnchanged() throws Exception {
			EmulatedEngine engine = addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.call("POST", "/orders/a?b=c", "r1",
					EmulatedCaller.deadlineHeader(900) + EmulatedCaller.workspaceHeader("forged")
							+ "X-Other: kept\r\n");
			assertThat(response.status(), is(200));
			assertThat(response.body(), is("answer to r1"));
			assertThat(response.signature(), is("seal-t1-r1"));
			EmulatedEngine.ReceivedRequest received = engine.receivedRequests().get(0);
			assertThat(received.workspace(), is("w"));
			assertThat(received.apiKey(), is(""));
			assertThat(received.uri(), is("/orders/a?b=c"));
			assertThat(received.body(), is("body of r1"));
			assertThat(received.timeoutMs(), lessThan(901L));
			assertThat(received.timeoutMs(), greaterThan(500L));
		}

		@Test
		void aStreamIsPassedOnEventByEvent() throws Exception {
			addModelTarget("t1", "a");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(eventText(0, 5)));
		}

		@Test
		void pipelinedRequestsGetTheirResponsesInOrder() throws Exception {
			addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send(EmulatedCaller.request("GET", "/reads/1", "r1", "", "")
						+ EmulatedCaller.request("GET", "/reads/2", "r2", "", ""));
				assertThat(caller.readResponse().body(), is("answer to r1"));
				assertThat(caller.readResponse().body(), is("answer to r2"));
			}
		}

		@Test
		void aDuplicateResponseIsDiscarded() throws Exception {
			addPlainTarget("t1", "a").duplicateResponses = true;
			GatewayTests.this.fixture.start();
			for (int number = 0; number < 20; number++) {
				assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r" + number, "").body(),
						is("answer to r" + number));
			}
		}

		@Test
		void anUnsignedSuccessIsNotPassedOn() throws Exception {
			addPlainTarget("t1", "a").signsResponses = false;
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(502));
		}

		@ParameterizedTest
		@ValueSource(ints = { 0, 99, 600, 999 })
		void aStatusThatHttpDoesNotHaveIsNotPassedOn(int status) throws Exception {
			addPlainTarget("t1", "a").status = status;
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(502));
		}

		@Test
		void aConnectionToATargetIsReused() throws Exception {
			EmulatedEngine engine = addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			for (int number = 0; number < 10; number++) {
				GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "");
			}
			assertThat(engine.acceptedConnections(), is(1));
		}

	}

	@Nested
	class Retries {

		@Test
		void anUnsafeRequestWhoseResponseIsLostIsNotRetried() throws Exception {
			EmulatedEngine first = addPlainTarget("t1", "a");
			EmulatedEngine second = addPlainTarget("t2", "a");
			first.resetBeforeResponse = true;
			second.resetBeforeResponse = true;
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(502));
			assertThat(first.receivedRequests().size() + second.receivedRequests().size(), is(1));
		}

		@Test
		void aSafeRequestIsRetriedAtAnotherTarget() throws Exception {
			addPlainTarget("t1", "a").resetBeforeResponse = true;
			addPlainTarget("t2", "b");
			GatewayTests.this.fixture.start();
			for (int number = 0; number < 5; number++) {
				assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "").status(), is(200));
			}
		}

		@Test
		void aRefusalByTheTargetIsPassedOnAsNotRun() throws Exception {
			EmulatedEngine engine = addPlainTarget("t1", "a");
			engine.refusesRequests = true;
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "");
			assertThat(response.status(), is(503));
			assertThat(response.headers(), hasKey("retry-after"));
			assertThat(response.signature(), is(""));
		}

		@Test
		void aBrokenStreamResumesAtAnotherTarget() throws Exception {
			EmulatedEngine first = addModelTarget("t1", "a");
			first.breakOffAtEvent = 3;
			EmulatedEngine second = addModelTarget("t2", "b");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(eventText(0, 5)));
			assertThat(response.signature(), is("seal-t1-r1"));
			assertThat(second.receivedRequests().get(0).lastEventId(), is(2L));
		}

		@Test
		void aSilentStreamResumesAtAnotherTarget() throws Exception {
			addModelTarget("t1", "a").silentFromEvent = 2;
			addModelTarget("t2", "b");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(eventText(0, 5)));
		}

		/** A target that sends a byte now and then is as good as silent. */
		@Test
		void aTricklingStreamResumesAtAnotherTarget() throws Exception {
			EmulatedEngine first = addModelTarget("t1", "a");
			first.trickleFromEvent = 2;
			EmulatedEngine second = addModelTarget("t2", "b");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(eventText(0, 5)));
			assertThat(second.receivedRequests().get(0).lastEventId(), is(1L));
			GatewayFixture.await(() -> first.runningRequests() == 0);
		}

		// Guards against giving up a stream that pauses when no other target can go on.
		@Test
		void aSilentStreamIsNotCutWithoutAnotherTarget() throws Exception {
			EmulatedEngine engine = addModelTarget("t1", "a");
			engine.eventIntervalMs = 1_100;
			engine.eventsPerStream = 3;
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(eventText(0, 3)));
		}

		@Test
		void aSlowStreamIsNotCut() throws Exception {
			addModelTarget("t1", "a").eventIntervalMs = 450;
			EmulatedEngine second = addModelTarget("t2", "b");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(eventText(0, 5)));
			assertThat(second.receivedRequests().isEmpty(), is(true));
		}

		@Test
		void aRequestThatHangsAtABusyTargetIsRetriedAtAnother() throws Exception {
			EmulatedEngine first = addModelTarget("t1", "a");
			first.eventsPerStream = 300;
			first.hangingRequestIds.add("r1");
			GatewayTests.this.fixture.start();
			// Until the entries are known, each may open a small fraction of the
			// connections.
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().limitDivisor() == 1);
			CompletableFuture<EmulatedCaller.Response> open = GatewayTests.this.fixture.callAsync("POST", "/texts/x",
					"r0", EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30));
			GatewayFixture.await(() -> first.runningRequests() == 1);
			EmulatedEngine second = addModelTarget("t2", "b");
			CompletableFuture<EmulatedCaller.Response> hung = GatewayTests.this.fixture.callAsync("POST", "/texts/x",
					"r1", EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30));
			GatewayFixture.await(() -> first.runningRequests() == 2);
			GatewayTests.this.fixture.store.putTarget(second, "ready");
			assertThat(hung.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).body(), is(eventText(0, 5)));
			assertThat(open.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).complete(), is(true));
		}

		@Test
		void aStreamThatCanNotResumeEndsIncomplete() throws Exception {
			addModelTarget("t1", "a").breakOffAtEvent = 3;
			GatewayTests.this.fixture.start();
			EmulatedCaller.Response response = GatewayTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(false));
			assertThat(response.body(), is(eventText(0, 3)));
		}

		@Test
		void anotherTargetAtTheAddressRefusesTheRequest() throws Exception {
			EmulatedEngine engine = addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.removeTarget("t1");
			GatewayTests.this.fixture.store.putTarget("t9", engine.storeEntry("ready"));
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("t9").isPresent()
					&& GatewayTests.this.fixture.gateway().view().target("t1").isEmpty());
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(503));
		}

	}

	@Nested
	class ReusedAddresses {

		@Test
		void anAddressTakenOverByAnotherTargetIsAvoided() throws Exception {
			EmulatedEngine other = addPlainTarget("t1", "a");
			EmulatedEngine healthy = addPlainTarget("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.putTarget("old", other.storeEntry("ready"));
			GatewayTests.this.fixture.store.removeTarget("t1");
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("old").isPresent()
					&& GatewayTests.this.fixture.gateway().view().target("t1").isEmpty());
			for (int number = 0; number < 20; number++) {
				assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "").status(), is(200));
			}
			assertThat("requests that the other target refused", other.receivedRequests().size(), lessThan(3));
			assertThat(healthy.receivedRequests().size(), is(20));
		}

	}

	@Nested
	class Refusals {

		@Test
		void unknownRoutesAndKeysAreDenied() throws Exception {
			addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("GET", "/none/x", "r1", "").status(), is(404));
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GET /reads/x HTTP/1.1\r\nHost: host.example\r\nKey: wrong\r\n\r\n");
				assertThat(caller.readResponse().status(), is(401));
			}
		}

		@Test
		void nothingIsDeniedBeforeTheFirstConfiguration() throws Exception {
			GatewayTests.this.fixture.store.refuseCalls(503);
			GatewayTests.this.fixture.gateway().start().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			EmulatedCaller.Response response = GatewayTests.this.fixture.call("GET", "/none/x", "r1", "");
			assertThat(response.status(), is(503));
			assertThat(response.headers(), hasKey("retry-after"));
		}

		/**
		 * A route that is missing here may have been added before the time within which a
		 * configuration has to be in force.
		 */
		@Test
		void nothingIsDeniedOnAConfigurationThatIsNotConfirmedInTime() throws Exception {
			GatewayTests.this.fixture.close();
			GatewayTests.this.fixture = new GatewayFixture(20_000);
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.setSilent(true);
			GatewayTests.this.fixture.store.dropWatchesSilently();
			assertThat(GatewayTests.this.fixture.call("GET", "/none/x", "r1", "").status(), is(404));
			Thread.sleep(GatewayFixture.CONFIGURATION_MS);
			assertThat(GatewayTests.this.fixture.call("GET", "/none/x", "r2", "").status(), is(503));
		}

		@Test
		void aRevokedKeyIsDenied() throws Exception {
			addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r1", "").status(), is(200));
			GatewayTests.this.fixture.configure(GatewayTests.this.fixture.nextConfiguration().workspace("w", "key-2"));
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.gateway().view().configuration().orElseThrow().version() == 2);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r2", "").status(), is(401));
		}

		@Test
		void keysExpireInTimeWithoutTheStore() throws Exception {
			GatewayTests.this.fixture.close();
			GatewayTests.this.fixture = new GatewayFixture(1_500);
			EmulatedEngine engine = addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.setSilent(true);
			// An open watch would get a response that confirms the keys again.
			GatewayTests.this.fixture.store.resetConnections();
			Thread.sleep(1_500);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r1", "").status(), is(503));
			assertThat(engine.receivedRequests().size(), is(0));
			GatewayTests.this.fixture.store.setSilent(false);
			GatewayFixture.await(GatewayTests.this.fixture.gateway()::keysFresh);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r2", "").status(), is(200));
		}

		@Test
		void requestsOverTheLimitsAreRejected() throws Exception {
			addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("POST /orders/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 20000\r\n\r\n");
				assertThat(caller.readResponse().status(), is(413));
			}
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GET /reads/x HTTP/1.1\r\nHost: host.example\r\nX-Long: " + "x".repeat(9_000) + "\r\n\r\n");
				assertThat(caller.readResponse().status(), is(431));
			}
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GARBAGE\r\n\r\n");
				assertThat(caller.readResponse().status(), is(400));
			}
		}

		@Test
		void anIncompleteHeadTimesOut() throws Exception {
			addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GET /reads/x HTTP/1.1\r\nHost: h");
				assertThat(caller.readResponse().status(), is(408));
			}
		}

	}

	@Nested
	class Targets {

		@Test
		void aLeavingTargetReceivesNoRequests() throws Exception {
			EmulatedEngine leaving = addPlainTarget("t1", "a");
			EmulatedEngine staying = addPlainTarget("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.putTarget(leaving, "draining");
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("t1").orElseThrow().leaving());
			for (int number = 0; number < 10; number++) {
				GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "");
			}
			assertThat(leaving.receivedRequests().size(), is(0));
			assertThat(staying.receivedRequests().size(), is(10));
		}

		@Test
		void aFailureDomainOutOfServiceReceivesNoRequestsUntilItReturns() throws Exception {
			EmulatedEngine out = addPlainTarget("t1", "a");
			addPlainTarget("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.setDomainOut("a", true);
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().domainsOut().contains("a"));
			for (int number = 0; number < 5; number++) {
				GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "");
			}
			assertThat(out.receivedRequests().size(), is(0));
			GatewayTests.this.fixture.store.setDomainOut("a", false);
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().domainsOut().isEmpty());
			GatewayTests.this.fixture.call("GET", "/reads/x", "r9", "");
			assertThat(out.receivedRequests().size(), is(1));
		}

		@Test
		void aWorkspaceIsServedInItsRegionsOnly() throws Exception {
			EmulatedEngine home = addPlainTarget("t1", "b");
			EmulatedEngine near = addPlainTarget("t2", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture
				.configure(GatewayTests.this.fixture.nextConfiguration().workspace("w", "key-1").allowedRegions("rb"));
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.gateway().view().configuration().orElseThrow().version() == 2);
			for (int number = 0; number < 8; number++) {
				assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "").status(), is(200));
			}
			assertThat(near.receivedRequests().size(), is(0));
			assertThat(home.receivedRequests().size(), is(8));
			GatewayTests.this.fixture.configure(
					GatewayTests.this.fixture.nextConfiguration().workspace("w", "key-1").allowedRegions("elsewhere"));
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.gateway().view().configuration().orElseThrow().version() == 3);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r9", "").status(), is(503));
			assertThat(near.receivedRequests().size() + home.receivedRequests().size(), is(8));
		}

		@Test
		void aTargetThatLoadsWeightsIsAvoided() throws Exception {
			EmulatedEngine loading = addModelTarget("t1", "a");
			EmulatedEngine other = addModelTarget("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.callStream("r0");
			GatewayTests.this.fixture.reportLoad(loading, 0, false);
			for (int number = 1; number <= 5; number++) {
				GatewayTests.this.fixture.callStream("r" + number);
			}
			assertThat("requests at the loading target", loading.receivedRequests().size(), lessThan(2));
			assertThat("requests at the other target", other.receivedRequests().size(), greaterThan(4));
		}

		@Test
		void aMalformedEntryIsIgnored() throws Exception {
			String validEntry = addPlainTarget("t1", "a").storeEntry("ready");
			GatewayTests.this.fixture.start();
			for (String value : List.of("", "[]", "{\"service\":7}", "\u0000\u0001",
					validEntry.replace("16", "\"many\""), validEntry.replace("ready", "odd"))) {
				GatewayTests.this.fixture.store.putTarget("foreign", value);
				Thread.sleep(350);
				assertThat(GatewayTests.this.fixture.gateway().view().target("foreign").isPresent(), is(false));
			}
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r1", "").status(), is(200));
		}

		@Test
		void changesAreReadAfterTheHistoryIsCompacted() throws Exception {
			EmulatedEngine engine = addPlainTarget("t1", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.putTarget(engine, "draining");
			GatewayTests.this.fixture.store.compactHistory();
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("t1").orElseThrow().leaving());
		}

	}

	@Nested
	class Completion {

		@Test
		void workIsCancelledWhenItsCallerDisconnects() throws Exception {
			EmulatedEngine engine = addModelTarget("t1", "a");
			engine.eventsPerStream = 10_000;
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send(
						EmulatedCaller.request("POST", "/texts/x", "r1", EmulatedCaller.modelHeaders("m", 10, 10), ""));
				GatewayFixture.await(() -> engine.runningRequests() == 1);
			}
			GatewayFixture.await(() -> engine.runningRequests() == 0);
		}

		@Test
		void aRequestEndsAtTheTimeoutOfItsRoute() throws Exception {
			addPlainTarget("t1", "a").firstByteDelayMs = 60_000;
			GatewayTests.this.fixture.start();
			long start = System.nanoTime();
			EmulatedCaller.Response response = GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "");
			long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			assertThat(response.status(), is(504));
			assertThat(tookMs, greaterThan(1_900L));
			assertThat(tookMs, lessThan(4_000L));
		}

		@Test
		void shutdownCompletesOpenRequests() throws Exception {
			EmulatedEngine engine = addModelTarget("t1", "a");
			engine.eventsPerStream = 100;
			engine.eventIntervalMs = 20;
			GatewayTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> open = GatewayTests.this.fixture.callAsync("POST", "/texts/x",
					"r1", EmulatedCaller.modelHeaders("m", 10, 10));
			GatewayFixture.await(() -> engine.runningRequests() == 1);
			CompletableFuture<Void> ended = GatewayTests.this.fixture.gateway().shutDown();
			CompletableFuture<EmulatedCaller.Response> late = GatewayTests.this.fixture.callAsync("POST", "/texts/x",
					"r2", EmulatedCaller.modelHeaders("m", 10, 10));
			assertThat(open.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).complete(), is(true));
			assertThat(late.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).complete(), is(true));
			ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}

		@Test
		void aRefusalIsExplainedInTheLog() throws Exception {
			addPlainTarget("t1", "a").refusesRequests = true;
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "");
			GatewayFixture.await(() -> GatewayTests.this.fixture.logOutput.toString().contains("request-ended"));
			String line = GatewayTests.this.fixture.logOutput.toString()
				.lines()
				.filter((logLine) -> logLine.contains("request-ended"))
				.findFirst()
				.orElseThrow();
			assertThat(line, startsWith("{\"time\":"));
			assertThat(line, containsString("\"request\":\"r1\""));
			assertThat(line, containsString("\"configuration\":1"));
		}

	}

}
