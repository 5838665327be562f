package org.baobabknot.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.quarantine.RequestVerdict;
import org.baobabknot.settings.FleetSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests with requests that share one part of their prompts, under which each engine
 * crashes, at several gateways. No two requests are alike.
 */
class TaintedPromptTests {

	private static final int GATEWAYS = 3;

	private static final int ENGINES = 10;

	private static final long LINK_BYTES_PER_SECOND = 50_000_000;

	/** Crashes after which requests with the part have to be held back. */
	private static final int MAX_CRASHES = 5;

	/** Time between two requests with the part. */
	private static final long INTERVAL_MS = 150;

	/** Time in which a datagram reaches the other gateways. */
	private static final long DELIVERY_MS = 100;

	private static final String DEADLY_PART = "dead1";

	private static final List<Long> DEADLY_PROMPT = List.of(0x50d1L, 0xdead1L);

	private static final String SOUND_PART = "50d1";

	private final EventLoopGroup engineGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final List<EmulatedEngine> engines = new ArrayList<>();

	private final GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND,
			new FleetSettings.Bounds(2_000, 5_000, 8_000, 8_000, 0.2, 10_000, 200, 1.5, 5, 1_200));

	private int requestCount;

	@BeforeEach
	void start() throws Exception {
		this.fleet.configure(new EmulatedConfiguration(1).route("texts", "streaming", "models", 5_000)
			.modelService("models", GatewayFixture.MODEL, 4, 64)
			.workspace("w", "key-1"));
		for (int index = 0; index < ENGINES; index++) {
			EmulatedEngine engine = new EmulatedEngine(this.engineGroup, "127.0.0.1", "t" + index, "models", "a",
					GatewayFixture.MODEL, 1);
			engine.deadlyPart = DEADLY_PART;
			this.engines.add(engine);
			this.fleet.store.putTarget(engine, "ready");
		}
		this.fleet.start(GATEWAYS);
		GatewayFixture.await(() -> this.fleet.gateways.stream()
			.allMatch((gateway) -> gateway.view().configuration().isPresent()
					&& GatewayFleet.onLoop(gateway, () -> gateway.view().entryInstances()).size() == GATEWAYS
					&& this.engines.stream().allMatch((engine) -> gateway.view().target(engine.id()).isPresent())));
	}

	@AfterEach
	void stop() {
		this.fleet.close();
		this.engines.forEach(EmulatedEngine::close);
		this.engineGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private EmulatedCaller.Response call(int gateway, String... parts) throws IOException {
		String id = "r" + this.requestCount++;
		String[] prompt = new String[parts.length + 1];
		System.arraycopy(parts, 0, prompt, 0, parts.length);
		prompt[parts.length] = Integer.toHexString(0xabc000 + this.requestCount);
		try (EmulatedCaller caller = new EmulatedCaller(this.fleet.callerPorts.get(gateway % GATEWAYS))) {
			return caller.sendAndRead(
					"POST", "/texts/x", id, EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 200, 30)
							+ EmulatedCaller.deadlineHeader(5_000) + EmulatedCaller.promptHeader(prompt),
					"body of " + id);
		}
	}

	private static boolean isServed(EmulatedCaller.Response response) {
		return response.status() == 200 && response.complete();
	}

	private long crashes() {
		return this.engines.stream().filter(EmulatedEngine::hasEnded).count();
	}

	private static RequestVerdict verdict(Gateway gateway) {
		return gateway.loop()
			.submit(() -> gateway.requestGuard().verdict(DEADLY_PROMPT))
			.syncUninterruptibly()
			.getNow();
	}

	private int crashTwice() throws Exception {
		assertThat(call(0, SOUND_PART).status(), is(200));
		assertThat(call(0, SOUND_PART, DEADLY_PART).status(), is(502));
		TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
		return call(0, SOUND_PART, DEADLY_PART).status();
	}

	@Nested
	class Quarantine {

		@Test
		void requestsWithADeadlyPartDoNotCrashOneEngineAfterTheOther() throws Exception {
			for (int gateway = 0; gateway < GATEWAYS; gateway++) {
				assertThat(call(gateway, SOUND_PART).status(), is(200));
			}
			int served = 0;
			for (int count = 0; count < 2 * ENGINES; count++) {
				call(count, SOUND_PART, DEADLY_PART);
				served += isServed(call(count + 1, SOUND_PART)) ? 1 : 0;
				TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
			}
			assertThat((int) crashes(), lessThanOrEqualTo(MAX_CRASHES));
			assertThat(served, greaterThanOrEqualTo(2 * ENGINES - MAX_CRASHES));
		}

		@Test
		void aGatewayThatSawNoCrashHoldsThemBackAtOnce() throws Exception {
			assertThat(crashTwice(), is(400));
			TimeUnit.MILLISECONDS.sleep(DELIVERY_MS);
			assertThat(call(1, SOUND_PART, DEADLY_PART).status(), is(400));
			assertThat(call(2, SOUND_PART, DEADLY_PART).status(), is(400));
			assertThat(call(2, SOUND_PART).status(), is(200));
			assertThat(crashes(), is(2L));
		}

		@Test
		void aGatewayThatStartsLaterLearnsOfThem() throws Exception {
			assertThat(crashTwice(), is(400));
			TaintedPromptTests.this.fleet.start(1);
			Gateway started = TaintedPromptTests.this.fleet.gateways.get(GATEWAYS);
			GatewayFixture.await(() -> verdict(started) == RequestVerdict.QUARANTINED);
			assertThat(crashes(), is(2L));
		}

	}

	/**
	 * All requests of a caller were rejected when its first ones after a pause had the
	 * deadly part.
	 */
	@Nested
	class CallersAfterAPause {

		@Test
		void areServedBesideRequestsWithADeadlyPart() throws Exception {
			assertThat(call(0, SOUND_PART, DEADLY_PART).status(), is(502));
			TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
			assertThat(call(1, SOUND_PART, DEADLY_PART).status(), is(400));
			TimeUnit.MILLISECONDS.sleep(DELIVERY_MS);
			int served = 0;
			for (int count = 0; count < 2 * ENGINES; count++) {
				served += isServed(call(count, SOUND_PART)) ? 1 : 0;
				assertThat(call(count, SOUND_PART, DEADLY_PART).status(), is(400));
			}
			assertThat(served, is(2 * ENGINES));
			assertThat(crashes(), is(2L));
		}

	}

	@Nested
	class SoundRequests {

		@Test
		void aRequestWhosePartsWereServedIsRepeatedAfterACrash() throws Exception {
			assertThat(call(0, SOUND_PART).status(), is(200));
			TaintedPromptTests.this.engines.forEach((engine) -> engine.firstByteDelayMs = 500);
			CompletableFuture<EmulatedCaller.Response> response = callAsync(0, SOUND_PART);
			busyEngine().crash();
			assertThat(response.get(10, TimeUnit.SECONDS).status(), is(200));
		}

		@Test
		void aResetConnectionIsNoCrash() throws Exception {
			TaintedPromptTests.this.engines.forEach((engine) -> engine.firstByteDelayMs = 500);
			CompletableFuture<EmulatedCaller.Response> response = callAsync(0, "07e4");
			busyEngine().resetConnections();
			assertThat(response.get(10, TimeUnit.SECONDS).status(), is(200));
		}

		private CompletableFuture<EmulatedCaller.Response> callAsync(int gateway, String part) {
			return CompletableFuture.supplyAsync(() -> {
				try {
					return call(gateway, part);
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			});
		}

		private EmulatedEngine busyEngine() throws InterruptedException {
			GatewayFixture.await(
					() -> TaintedPromptTests.this.engines.stream().anyMatch((engine) -> engine.runningRequests() > 0));
			return TaintedPromptTests.this.engines.stream()
				.filter((engine) -> engine.runningRequests() > 0)
				.findFirst()
				.orElseThrow();
		}

	}

}
