package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of the gateway with sockets, against the emulator.
 */
class GatewayTests {

	private static final long WAIT_SECONDS = 15;

	private GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedEngine plain(String id, String domain) {
		return this.fixture.engine(id, "plain", domain, "");
	}

	private EmulatedEngine model(String id, String domain) {
		return this.fixture.engine(id, "models", domain, GatewayFixture.MODEL);
	}

	private static String events(int first, int end) {
		StringBuilder text = new StringBuilder();
		for (int number = first; number < end; number++) {
			text.append("id: ").append(number).append("\ndata: e").append(number).append("\n\n");
		}
		return text.toString();
	}

	@Nested
	class Answers {

		@Test
		void aRequestIsAnsweredByItsTargetUnchanged() throws Exception {
			EmulatedEngine engine = plain("t1", "a");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.call("POST", "/orders/a?b=c", "r1",
					EmulatedCaller.waits(900) + EmulatedCaller.claims("forged") + "X-Other: kept\r\n");
			assertThat(answer.status(), is(200));
			assertThat(answer.body(), is("answer to r1"));
			assertThat(answer.signature(), is("seal-t1-r1"));
			EmulatedEngine.Seen seen = engine.seen().get(0);
			assertThat(seen.workspace(), is("w"));
			assertThat(seen.key(), is(""));
			assertThat(seen.uri(), is("/orders/a?b=c"));
			assertThat(seen.body(), is("body of r1"));
			assertThat(seen.deadlineMs(), lessThan(901L));
			assertThat(seen.deadlineMs(), greaterThan(500L));
		}

		@Test
		void aStreamIsPassedOnEventByEvent() throws Exception {
			model("t1", "a");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.stream("r1");
			assertThat(answer.whole(), is(true));
			assertThat(answer.body(), is(events(0, 5)));
		}

		@Test
		void requestsOnOneConnectionAreAnsweredInOrder() throws Exception {
			plain("t1", "a");
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send(EmulatedCaller.request("GET", "/reads/1", "r1", "", "")
						+ EmulatedCaller.request("GET", "/reads/2", "r2", "", ""));
				assertThat(caller.read().body(), is("answer to r1"));
				assertThat(caller.read().body(), is("answer to r2"));
			}
		}

		@Test
		void aSecondCopyOfAnAnswerGoesToNobody() throws Exception {
			plain("t1", "a").repeatAnswers = true;
			GatewayTests.this.fixture.start();
			for (int number = 0; number < 20; number++) {
				assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r" + number, "").body(),
						is("answer to r" + number));
			}
		}

		@Test
		void aSuccessThatIsNotSignedIsNotPassedOn() throws Exception {
			plain("t1", "a").signs = false;
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(502));
		}

		@Test
		void aConnectionToATargetIsUsedAgain() throws Exception {
			EmulatedEngine engine = plain("t1", "a");
			GatewayTests.this.fixture.start();
			for (int number = 0; number < 10; number++) {
				GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "");
			}
			assertThat(engine.connections(), is(1));
		}

	}

	@Nested
	class Repeats {

		@Test
		void anOrderWhoseAnswerIsLostIsNotSentAgain() throws Exception {
			EmulatedEngine first = plain("t1", "a");
			EmulatedEngine second = plain("t2", "a");
			first.loseAnswers = true;
			second.loseAnswers = true;
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(502));
			assertThat(first.seen().size() + second.seen().size(), is(1));
		}

		@Test
		void aReadIsSentToAnotherTarget() throws Exception {
			plain("t1", "a").loseAnswers = true;
			plain("t2", "b");
			GatewayTests.this.fixture.start();
			for (int number = 0; number < 5; number++) {
				assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "").status(), is(200));
			}
		}

		@Test
		void aRefusalOfTheTargetIsPassedOnAsNotRun() throws Exception {
			EmulatedEngine engine = plain("t1", "a");
			engine.refuses = true;
			GatewayTests.this.fixture.start();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "");
			assertThat(answer.status(), is(503));
			assertThat(answer.headers(), hasKey("retry-after"));
			assertThat(answer.signature(), is(""));
		}

		@Test
		void aStreamThatBreaksOffGoesOnAtAnotherTarget() throws Exception {
			EmulatedEngine first = model("t1", "a");
			first.breakAfter = 3;
			EmulatedEngine second = model("t2", "b");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.stream("r1");
			assertThat(answer.whole(), is(true));
			assertThat(answer.body(), is(events(0, 5)));
			assertThat(answer.signature(), is("seal-t1-r1"));
			assertThat(second.seen().get(0).resumeAfter(), is(2L));
		}

		@Test
		void aStreamThatFallsSilentGoesOnAtAnotherTarget() throws Exception {
			model("t1", "a").silentAfter = 2;
			model("t2", "b");
			GatewayTests.this.fixture.start();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.stream("r1");
			assertThat(answer.whole(), is(true));
			assertThat(answer.body(), is(events(0, 5)));
		}

		@Test
		void aRequestThatHangsAtABusyTargetGoesToAnother() throws Exception {
			EmulatedEngine first = model("t1", "a");
			first.events = 300;
			first.hangs.add("r1");
			GatewayTests.this.fixture.start();
			// Until the entries are known, each may open a small part of the connections.
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().limitDivisor() == 1);
			CompletableFuture<EmulatedCaller.Answer> open = GatewayTests.this.fixture.later("POST", "/texts/x", "r0",
					EmulatedCaller.model(GatewayFixture.MODEL, 100, 30));
			GatewayFixture.await(() -> first.running() == 1);
			EmulatedEngine second = model("t2", "b");
			CompletableFuture<EmulatedCaller.Answer> hung = GatewayTests.this.fixture.later("POST", "/texts/x", "r1",
					EmulatedCaller.model(GatewayFixture.MODEL, 100, 30));
			GatewayFixture.await(() -> first.running() == 2);
			GatewayTests.this.fixture.store.list(second, "ready");
			assertThat(hung.get(WAIT_SECONDS, TimeUnit.SECONDS).body(), is(events(0, 5)));
			assertThat(open.get(WAIT_SECONDS, TimeUnit.SECONDS).whole(), is(true));
		}

		@Test
		void aStreamThatCanNotGoOnDoesNotLookWhole() throws Exception {
			model("t1", "a").breakAfter = 3;
			GatewayTests.this.fixture.start();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.stream("r1");
			assertThat(answer.whole(), is(false));
			assertThat(answer.body(), is(events(0, 3)));
		}

		@Test
		void anotherTargetAtTheAddressRunsNothing() throws Exception {
			EmulatedEngine engine = plain("t1", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.unlist("t1");
			GatewayTests.this.fixture.store.list("t9", engine.entry("ready"));
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("t9").isPresent()
					&& GatewayTests.this.fixture.gateway().view().target("t1").isEmpty());
			assertThat(GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(503));
		}

	}

	@Nested
	class Reused {

		@Test
		void anAddressThatAnotherTargetHasIsLeftAloneForAWhile() throws Exception {
			EmulatedEngine other = plain("t1", "a");
			EmulatedEngine sound = plain("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.list("old", other.entry("ready"));
			GatewayTests.this.fixture.store.unlist("t1");
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("old").isPresent()
					&& GatewayTests.this.fixture.gateway().view().target("t1").isEmpty());
			for (int number = 0; number < 20; number++) {
				assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "").status(), is(200));
			}
			assertThat("requests that the other target turned away", other.seen().size(), lessThan(3));
			assertThat(sound.seen().size(), is(20));
		}

	}

	@Nested
	class Denials {

		@Test
		void whatNoConfigurationAllowsIsDenied() throws Exception {
			plain("t1", "a");
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("GET", "/none/x", "r1", "").status(), is(404));
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GET /reads/x HTTP/1.1\r\nHost: host.example\r\nKey: wrong\r\n\r\n");
				assertThat(caller.read().status(), is(401));
			}
		}

		@Test
		void beforeTheConfigurationIsKnownNothingIsDenied() throws Exception {
			GatewayTests.this.fixture.store.refuse(503);
			GatewayTests.this.fixture.gateway().start().get(WAIT_SECONDS, TimeUnit.SECONDS);
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.call("GET", "/none/x", "r1", "");
			assertThat(answer.status(), is(503));
			assertThat(answer.headers(), hasKey("retry-after"));
		}

		@Test
		void aKeyThatWasTakenAwayAdmitsNothing() throws Exception {
			plain("t1", "a");
			GatewayTests.this.fixture.start();
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r1", "").status(), is(200));
			GatewayTests.this.fixture.configure(GatewayTests.this.fixture.configuration().workspace("w", "key-2"));
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.gateway().view().configuration().orElseThrow().version() == 2);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r2", "").status(), is(401));
		}

		@Test
		void withoutTheStoreKeysStopBeingTrustedInTime() throws Exception {
			GatewayTests.this.fixture.close();
			GatewayTests.this.fixture = new GatewayFixture(1_500);
			EmulatedEngine engine = plain("t1", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.silent(true);
			// A watch that waits already would be answered and confirm the keys once
			// more.
			GatewayTests.this.fixture.store.reset();
			Thread.sleep(1_500);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r1", "").status(), is(503));
			assertThat(engine.seen().size(), is(0));
			GatewayTests.this.fixture.store.silent(false);
			GatewayFixture.await(GatewayTests.this.fixture.gateway()::keysKnown);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r2", "").status(), is(200));
		}

		@Test
		void requestsBeyondTheLimitsAreRejected() throws Exception {
			plain("t1", "a");
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("POST /orders/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 20000\r\n\r\n");
				assertThat(caller.read().status(), is(413));
			}
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GET /reads/x HTTP/1.1\r\nHost: host.example\r\nX-Long: " + "x".repeat(9_000) + "\r\n\r\n");
				assertThat(caller.read().status(), is(431));
			}
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GARBAGE\r\n\r\n");
				assertThat(caller.read().status(), is(400));
			}
		}

		@Test
		void aHeadThatDoesNotEndIsTimedOut() throws Exception {
			plain("t1", "a");
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send("GET /reads/x HTTP/1.1\r\nHost: h");
				assertThat(caller.read().status(), is(408));
			}
		}

	}

	@Nested
	class Targets {

		@Test
		void aLeavingTargetGetsNothing() throws Exception {
			EmulatedEngine leaving = plain("t1", "a");
			EmulatedEngine staying = plain("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.list(leaving, "draining");
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("t1").orElseThrow().leaving());
			for (int number = 0; number < 10; number++) {
				GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "");
			}
			assertThat(leaving.seen().size(), is(0));
			assertThat(staying.seen().size(), is(10));
		}

		@Test
		void aFailureDomainThatIsOutGetsNothingUntilItIsBack() throws Exception {
			EmulatedEngine out = plain("t1", "a");
			plain("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.takeOut("a", true);
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().domainsOut().contains("a"));
			for (int number = 0; number < 5; number++) {
				GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "");
			}
			assertThat(out.seen().size(), is(0));
			GatewayTests.this.fixture.store.takeOut("a", false);
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().domainsOut().isEmpty());
			GatewayTests.this.fixture.call("GET", "/reads/x", "r9", "");
			assertThat(out.seen().size(), is(1));
		}

		@Test
		void aWorkspaceIsServedInItsRegionsOnly() throws Exception {
			EmulatedEngine home = plain("t1", "b");
			EmulatedEngine near = plain("t2", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture
				.configure(GatewayTests.this.fixture.configuration().workspace("w", "key-1").in("rb"));
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.gateway().view().configuration().orElseThrow().version() == 2);
			for (int number = 0; number < 8; number++) {
				assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r" + number, "").status(), is(200));
			}
			assertThat(near.seen().size(), is(0));
			assertThat(home.seen().size(), is(8));
			GatewayTests.this.fixture
				.configure(GatewayTests.this.fixture.configuration().workspace("w", "key-1").in("elsewhere"));
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.gateway().view().configuration().orElseThrow().version() == 3);
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r9", "").status(), is(503));
			assertThat(near.seen().size() + home.seen().size(), is(8));
		}

		@Test
		void aTargetThatLoadsWeightsIsPassedOver() throws Exception {
			EmulatedEngine loading = model("t1", "a");
			EmulatedEngine other = model("t2", "b");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.stream("r0");
			GatewayTests.this.fixture.report(loading, 0, false);
			for (int number = 1; number <= 5; number++) {
				GatewayTests.this.fixture.stream("r" + number);
			}
			assertThat("requests at the loading target", loading.seen().size(), lessThan(2));
			assertThat("requests at the other target", other.seen().size(), greaterThan(4));
		}

		@Test
		void aForeignEntryNamesNoTargetAndHarmsNoOther() throws Exception {
			String sound = plain("t1", "a").entry("ready");
			GatewayTests.this.fixture.start();
			for (String value : List.of("", "[]", "{\"service\":7}", "\u0000\u0001", sound.replace("16", "\"many\""),
					sound.replace("ready", "odd"))) {
				GatewayTests.this.fixture.store.list("foreign", value);
				Thread.sleep(350);
				assertThat(GatewayTests.this.fixture.gateway().view().target("foreign").isPresent(), is(false));
			}
			assertThat(GatewayTests.this.fixture.call("GET", "/reads/x", "r1", "").status(), is(200));
		}

		@Test
		void changesAreFoundAfterTheHistoryIsGone() throws Exception {
			EmulatedEngine engine = plain("t1", "a");
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.store.list(engine, "draining");
			GatewayTests.this.fixture.store.compact();
			GatewayFixture.await(() -> GatewayTests.this.fixture.gateway().view().target("t1").orElseThrow().leaving());
		}

	}

	@Nested
	class Ends {

		@Test
		void workIsCancelledWhenItsCallerLeaves() throws Exception {
			EmulatedEngine engine = model("t1", "a");
			engine.events = 10_000;
			GatewayTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayTests.this.fixture.caller()) {
				caller.send(EmulatedCaller.request("POST", "/texts/x", "r1", EmulatedCaller.model("m", 10, 10), ""));
				GatewayFixture.await(() -> engine.running() == 1);
			}
			GatewayFixture.await(() -> engine.running() == 0);
		}

		@Test
		void aRequestEndsAtTheTimeOutOfItsRoute() throws Exception {
			plain("t1", "a").firstMs = 60_000;
			GatewayTests.this.fixture.start();
			long start = System.nanoTime();
			EmulatedCaller.Answer answer = GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "");
			long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			assertThat(answer.status(), is(504));
			assertThat(tookMs, greaterThan(1_900L));
			assertThat(tookMs, lessThan(4_000L));
		}

		@Test
		void aShutDownCutsNoRequest() throws Exception {
			EmulatedEngine engine = model("t1", "a");
			engine.events = 100;
			engine.pauseMs = 20;
			GatewayTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Answer> open = GatewayTests.this.fixture.later("POST", "/texts/x", "r1",
					EmulatedCaller.model("m", 10, 10));
			GatewayFixture.await(() -> engine.running() == 1);
			CompletableFuture<Void> ended = GatewayTests.this.fixture.gateway().shutDown();
			CompletableFuture<EmulatedCaller.Answer> late = GatewayTests.this.fixture.later("POST", "/texts/x", "r2",
					EmulatedCaller.model("m", 10, 10));
			assertThat(open.get(WAIT_SECONDS, TimeUnit.SECONDS).whole(), is(true));
			assertThat(late.get(WAIT_SECONDS, TimeUnit.SECONDS).whole(), is(true));
			ended.get(WAIT_SECONDS, TimeUnit.SECONDS);
		}

		@Test
		void aRefusalIsExplainedInTheLog() throws Exception {
			plain("t1", "a").refuses = true;
			GatewayTests.this.fixture.start();
			GatewayTests.this.fixture.call("POST", "/orders/x", "r1", "");
			GatewayFixture.await(() -> GatewayTests.this.fixture.lines.toString().contains("request-ended"));
			String line = GatewayTests.this.fixture.lines.toString()
				.lines()
				.filter((each) -> each.contains("request-ended"))
				.findFirst()
				.orElseThrow();
			assertThat(line, startsWith("{\"time\":"));
			assertThat(line, containsString("\"request\":\"r1\""));
			assertThat(line, containsString("\"configuration\":1"));
		}

	}

}
