package org.baobabknot.gateway;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests what a gateway owes to callers whose requests or responses are incomplete when it
 * could stop.
 */
class GatewayShutdownTests {

	/** More than the socket buffers of both ends hold. */
	private static final int RESPONSE_BYTES = 3_500_000;

	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	/** Time after which a gateway without open requests stops. */
	private static final long DRAIN_START_MS = 3_500;

	private static final long TIMEOUT_SECONDS = 10;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private Socket connect() throws Exception {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		socket.connect(new InetSocketAddress("127.0.0.1", this.fixture.port));
		return socket;
	}

	private static void send(Socket socket, String text) throws Exception {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	@Test
	void itWaitsUntilASlowCallerHasTheWholeResponse() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "plain", "a", "");
		engine.paddingBytes = RESPONSE_BYTES;
		this.fixture.start();
		try (Socket caller = connect()) {
			send(caller, EmulatedCaller.request("POST", "/orders/x", "r1", "", "order"));
			GatewayFixture.await(() -> this.fixture.logOutput.toString().contains("\"request-ended\""));
			CompletableFuture<Void> ended = this.fixture.gateway().shutDown();
			Thread.sleep(DRAIN_START_MS + 500);
			assertThat("the gateway has stopped", ended.isDone(), is(false));
			InputStream input = caller.getInputStream();
			long received = 0;
			for (int count = input.read(new byte[1 << 16]); count >= 0; count = input.read(new byte[1 << 16])) {
				received += count;
			}
			assertThat(received > RESPONSE_BYTES, is(true));
			ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	@Test
	void itWaitsForARequestWhoseHeadIsIncomplete() throws Exception {
		this.fixture.addEngine("t1", "plain", "a", "");
		this.fixture.start();
		try (Socket caller = connect()) {
			String request = EmulatedCaller.request("POST", "/orders/x", "r1", "", "order");
			CompletableFuture<Void> ended = this.fixture.gateway().shutDown();
			Thread.sleep(DRAIN_START_MS - 400);
			send(caller, request.substring(0, 30));
			Thread.sleep(800);
			assertThat("the gateway has stopped", ended.isDone(), is(false));
			send(caller, request.substring(30));
			byte[] response = caller.getInputStream().readAllBytes();
			assertThat(new String(response, StandardCharsets.US_ASCII), containsString("answer to r1"));
			ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	/**
	 * Requests on open connections were admitted late in a planned stop and cut off when
	 * the process ended.
	 */
	@Nested
	class LateRequests {

		/** A stream may last 5 s, and the process ends 7.6 s after the signal. */
		private static final long LATE_MS = 3_200;

		@Test
		void areRefusedAsNotRunWhenTheyCouldBeCutOff() throws Exception {
			EmulatedEngine engine = GatewayShutdownTests.this.fixture.addEngine("t1", "models", "a",
					GatewayFixture.MODEL);
			engine.eventsPerStream = 48;
			engine.eventIntervalMs = 100;
			GatewayShutdownTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayShutdownTests.this.fixture.caller()) {
				CompletableFuture<Void> ended = GatewayShutdownTests.this.fixture.gateway().shutDown();
				Thread.sleep(LATE_MS);
				EmulatedCaller.Response response = caller.sendAndRead("POST", "/texts/x", "r1",
						EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 300)
								+ EmulatedCaller.deadlineHeader(5_000),
						"body");
				assertThat(response.status(), is(503));
				assertThat(response.headers().get("connection"), is("close"));
				assertThat(response.headers().containsKey("retry-after"), is(true));
				assertThat(engine.receivedRequests().isEmpty(), is(true));
				ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			}
		}

		@Test
		void areRefusedAfterASecondSignalToo() throws Exception {
			GatewayShutdownTests.this.fixture.addEngine("t1", "models", "a", GatewayFixture.MODEL);
			GatewayShutdownTests.this.fixture.start();
			CompletableFuture<Void> ended = GatewayShutdownTests.this.fixture.gateway().shutDown();
			Thread.sleep(LATE_MS);
			GatewayShutdownTests.this.fixture.gateway().shutDown();
			assertThat(GatewayShutdownTests.this.fixture.callStream("r1").status(), is(503));
			ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}

		@Test
		void areServedWhenTheyEndBeforeTheProcess() throws Exception {
			GatewayShutdownTests.this.fixture.addEngine("t1", "plain", "a", "");
			GatewayShutdownTests.this.fixture.start();
			try (EmulatedCaller caller = GatewayShutdownTests.this.fixture.caller()) {
				CompletableFuture<Void> ended = GatewayShutdownTests.this.fixture.gateway().shutDown();
				Thread.sleep(LATE_MS);
				EmulatedCaller.Response response = caller.sendAndRead("POST", "/orders/x", "r1", "", "order");
				assertThat(response.status(), is(200));
				ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			}
		}

	}

}
