package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.standin.engine.CompletionText;
import org.baobabknot.standin.engine.EngineSettings;
import org.baobabknot.standin.engine.EngineStandin;
import org.baobabknot.target.HttpTarget;
import org.baobabknot.target.LoadCommand;
import org.baobabknot.target.LoadResult;
import org.baobabknot.target.StatusResult;
import org.baobabknot.target.TargetKind;
import org.baobabknot.target.TargetObserver;
import org.baobabknot.target.TargetRequest;
import org.baobabknot.target.TargetSettings;
import org.baobabknot.target.TargetState;
import org.baobabknot.target.TargetStatus;
import org.baobabknot.weights.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests the target adapter against the engine stand-in.
 */
class EngineStandinTests {

	private static final byte[] WEIGHTS = weights(3_000_000);

	private static final String DIGEST = Digests.of(WEIGHTS);

	private final StandinFixture fixture = new StandinFixture();

	private EngineStandin engine;

	private StandinServer server;

	private HttpTarget target;

	private static byte[] weights(int size) {
		byte[] bytes = new byte[size];
		Arrays.fill(bytes, (byte) 7);
		return bytes;
	}

	private void start(EngineSettings settings) {
		start(settings, TargetObserver.NONE);
	}

	private void start(EngineSettings settings, TargetObserver observer) {
		this.engine = new EngineStandin(settings);
		this.server = this.fixture.start(this.engine);
		this.target = this.fixture.closeAfterTest(new HttpTarget(this.fixture.group(),
				TargetSettings.of("127.0.0.1", this.server.port(), TargetKind.ENGINE), observer));
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private LoadResult load(String digest, long fence) throws Exception {
		LoadCommand command = new LoadCommand("v1", digest, fence, WEIGHTS.length);
		return this.target.load(command, EngineStandinTests::part).get(30, TimeUnit.SECONDS);
	}

	private static byte[] part(int index) {
		int size = 1_000_000;
		int start = Math.min(WEIGHTS.length, index * size);
		return Arrays.copyOfRange(WEIGHTS, start, Math.min(WEIGHTS.length, start + size));
	}

	private TargetStatus status() throws Exception {
		return ((StatusResult.Received) this.target.status().get(10, TimeUnit.SECONDS)).status();
	}

	// A crash closes idle connections too. The first query after it may be sent on one
	// before its end is noticed, and fails as a query to a crashed engine does.
	private TargetStatus statusAfterCrash() throws Exception {
		StatusResult first = this.target.status().get(10, TimeUnit.SECONDS);
		return (first instanceof StatusResult.Received received) ? received.status() : status();
	}

	private CompletableFuture<String> complete(String prompt, int tokens, boolean stream, long incarnation) {
		byte[] body = JsonBody.object()
			.put("prompt", prompt)
			.put("max_tokens", tokens)
			.put("stream", stream)
			.put("request_id", prompt)
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		CollectingListener listener = new CollectingListener();
		Duration timeout = Duration.ofSeconds(20);
		HttpExchange exchange = this.target.send(
				new TargetRequest("POST", "/v1/completions", List.of(), incarnation, timeout, timeout, body.length),
				listener);
		exchange.write(Unpooled.wrappedBuffer(body));
		exchange.end();
		return listener.result();
	}

	@Nested
	class Loading {

		// Guards against weights that differ from the bytes sent or a wrong reported
		// digest.
		@Test
		void reportsTheDigestOfTheBytesThatArrived() throws Exception {
			start(EngineSettings.of("translation", "a"));
			assertThat(status().state(), equalTo(TargetState.EMPTY));
			LoadResult.Loaded loaded = (LoadResult.Loaded) load(DIGEST, 1);
			assertThat(loaded.status().digest(), equalTo(DIGEST));
			assertThat(loaded.status().state(), equalTo(TargetState.COLD));
		}

		// Guards against serving corrupt weights.
		@Test
		void refusesBytesThatDoNotMatchTheDigest() throws Exception {
			start(EngineSettings.of("translation", "a"));
			assertThat(load(Digests.of("other"), 1), instanceOf(LoadResult.Refused.class));
			assertThat(status().state(), equalTo(TargetState.EMPTY));
		}

		// Guards against executing a load command of a superseded controller.
		@Test
		void refusesAnOutdatedFenceIfTheCheckIsEnabled() throws Exception {
			start(EngineSettings.of("translation", "a"));
			load(DIGEST, 5);
			assertThat(((LoadResult.Refused) load(DIGEST, 4)).status(), equalTo(409));
			assertThat(EngineStandinTests.this.server.record().path("refused_loads").asInt(), equalTo(1));
			start(EngineSettings.of("translation", "a").withFenceCheck(false));
			load(DIGEST, 5);
			assertThat(load(DIGEST, 4), instanceOf(LoadResult.Loaded.class));
		}

	}

	@Nested
	class Responses {

		// Guards against responses that tests cannot verify.
		@Test
		void areAFunctionOfPromptAndDigest() throws Exception {
			start(EngineSettings.of("translation", "a"));
			EngineStandinTests.this.engine.preload("v1", DIGEST, false);
			String expected = CompletionText.generate(DIGEST, "menu", 5);
			assertThat(complete("menu", 5, false, 0).get(20, TimeUnit.SECONDS), containsString(expected));
			String stream = complete("menu", 5, true, 0).get(20, TimeUnit.SECONDS);
			for (String token : expected.split(" ")) {
				assertThat(stream, containsString("\"token\":\"" + token + " \""));
			}
			assertThat(stream, containsString("data: [DONE]"));
		}

		// Guards against a queue that loses requests above the capacity.
		@Test
		void arriveForMoreRequestsThanRunConcurrently() throws Exception {
			start(EngineSettings.of("translation", "a").withSpeed(4, 1));
			EngineStandinTests.this.engine.preload("v1", DIGEST, false);
			List<CompletableFuture<String>> responses = new ArrayList<>();
			for (int count = 0; count < 20; count++) {
				responses.add(complete("prompt " + count, 3, false, 0));
			}
			for (int count = 0; count < 20; count++) {
				assertThat(responses.get(count).get(20, TimeUnit.SECONDS),
						containsString(CompletionText.generate(DIGEST, "prompt " + count, 3)));
			}
			assertThat(EngineStandinTests.this.engine.runs().size(), equalTo(20));
		}

		// Guards against running a request on an engine that restarted after it was
		// chosen.
		@Test
		void areRefusedByAnotherIncarnationAsNotRun() throws Exception {
			start(EngineSettings.of("translation", "a"));
			EngineStandinTests.this.engine.preload("v1", DIGEST, false);
			long incarnation = status().incarnation();
			assertThat(complete("menu", 1, false, incarnation + 1).get(20, TimeUnit.SECONDS), startsWith("not run"));
			assertThat(complete("menu", 1, false, incarnation).get(20, TimeUnit.SECONDS), startsWith("200"));
			assertThat(EngineStandinTests.this.engine.runs().size(), equalTo(1));
		}

		// Guards against a request counted as run by an engine without weights.
		@Test
		void areRefusedByAnEmptyEngineAsNotRun() throws Exception {
			start(EngineSettings.of("translation", "a"));
			assertThat(complete("menu", 1, false, 0).get(20, TimeUnit.SECONDS), startsWith("not run"));
		}

	}

	@Nested
	class Failures {

		// Guards against a stand-in that tolerates overload while it is cold.
		@Test
		void crashesAboveTheColdLimitWhileCold() throws Exception {
			start(EngineSettings.of("translation", "a").withColdStart(2, 60_000));
			EngineStandinTests.this.engine.preload("v1", DIGEST, true);
			long before = status().incarnation();
			List<String> responses = new ArrayList<>();
			for (CompletableFuture<String> response : List.of(complete("a", 500, true, 0), complete("b", 500, true, 0),
					complete("c", 500, true, 0))) {
				responses.add(response.get(20, TimeUnit.SECONDS));
			}
			assertThat(responses, everyItem(startsWith("failed")));
			assertThat(statusAfterCrash().incarnation(), equalTo(before + 1));
			assertThat(EngineStandinTests.this.server.record().path("max_running_while_cold").asInt(), equalTo(3));
		}

		// Guards against a killed engine that still has its weights.
		@Test
		void killLosesStateAndKeepsTheRecord() throws Exception {
			List<Boolean> lost = new CopyOnWriteArrayList<>();
			start(EngineSettings.of("translation", "a"), new TargetObserver() {
				@Override
				public void onConnectionLost(boolean idle) {
					lost.add(idle);
				}
			});
			EngineStandinTests.this.engine.preload("v1", DIGEST, false);
			CompletableFuture<String> response = complete("menu", 5_000, true, 0);
			while (EngineStandinTests.this.engine.runs().isEmpty()) {
				Thread.sleep(5);
			}
			EngineStandinTests.this.server.activateFault(StandinFixture.fault("kill"));
			assertThat(response.get(20, TimeUnit.SECONDS), startsWith("failed"));
			assertThat(status().state(), equalTo(TargetState.EMPTY));
			assertThat(EngineStandinTests.this.engine.runs().size(), equalTo(1));
			assertThat(lost, equalTo(List.of(false)));
		}

		// Guards against a cancelled request that still occupies a slot of the batch.
		@Test
		void cancelledRequestsLeaveTheBatch() throws Exception {
			start(EngineSettings.of("translation", "a").withSpeed(1, 2));
			EngineStandinTests.this.engine.preload("v1", DIGEST, false);
			CompletableFuture<String> first = complete("long", 100_000, true, 0);
			CompletableFuture<String> second = complete("short", 2, false, 0);
			while (EngineStandinTests.this.engine.runs().isEmpty()) {
				Thread.sleep(5);
			}
			assertThat(EngineStandinTests.this.target.cancel("long").get(10, TimeUnit.SECONDS), equalTo(true));
			assertThat(first.get(20, TimeUnit.SECONDS), startsWith("failed"));
			assertThat(second.get(20, TimeUnit.SECONDS), startsWith("200"));
		}

	}

}
