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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests what callers get for requests that cross the closes of a stopping gateway.
 */
class GatewayStopTests {

	/** Time after the signal at which connections are drained. */
	private static final long DRAIN_START_MS = 3_500;

	private static final long TIMEOUT_SECONDS = 10;

	private final GatewayFixture fixture = new GatewayFixture();

	private EmulatedEngine streams;

	private EmulatedEngine plain;

	@BeforeEach
	void start() throws Exception {
		this.plain = this.fixture.addEngine("t1", "plain", "a", "");
		this.streams = this.fixture.addEngine("t2", "models", "a", GatewayFixture.MODEL);
		this.streams.eventsPerStream = 21;
		this.streams.eventIntervalMs = 200;
		this.fixture.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static String order(String id) {
		return EmulatedCaller.request("POST", "/orders/x", id, "", "order");
	}

	private static String stream(String id) {
		return EmulatedCaller.request("POST", "/texts/x", id,
				EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 21) + EmulatedCaller.deadlineHeader(5_000),
				"body");
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Requests that had been read behind an open one were dropped when its connection was
	 * closed.
	 */
	@Nested
	class PipelinedRequests {

		@Test
		void areServedWhenTheyCameBeforeTheSignal() throws Exception {
			try (EmulatedCaller caller = GatewayStopTests.this.fixture.caller()) {
				caller.send(stream("r1") + order("r2"));
				Thread.sleep(200);
				CompletableFuture<Void> ended = GatewayStopTests.this.fixture.gateway().shutDown();
				assertThat(caller.readResponse().complete(), is(true));
				EmulatedCaller.Response second = caller.readResponse();
				assertThat(second.body(), is("answer to r2"));
				assertThat(second.headers().get("connection"), is("close"));
				ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			}
		}

		@Test
		void areServedWhenTheyCameAfterTheSignal() throws Exception {
			try (EmulatedCaller caller = GatewayStopTests.this.fixture.caller()) {
				GatewayStopTests.this.fixture.gateway().shutDown();
				Thread.sleep(200);
				caller.send(order("r1") + stream("r2") + order("r3"));
				EmulatedCaller.Response first = caller.readResponse();
				assertThat(first.body(), is("answer to r1"));
				assertThat(first.headers().get("connection"), nullValue());
				assertThat(caller.readResponse().complete(), is(true));
				assertThat(caller.readResponse().body(), is("answer to r3"));
			}
		}

	}

	/**
	 * Connections that were accepted while a gateway drained were closed without a byte.
	 */
	@Nested
	class LateConnections {

		private EmulatedCaller callLate(String request) throws Exception {
			EmulatedCaller open = GatewayStopTests.this.fixture.caller();
			open.send(stream("open"));
			Thread.sleep(100);
			GatewayStopTests.this.fixture.gateway().shutDown();
			Thread.sleep(DRAIN_START_MS + 200);
			EmulatedCaller late = GatewayStopTests.this.fixture.caller();
			late.send(request);
			return late;
		}

		@Test
		void areToldThatTheirRequestHasNotRun() throws Exception {
			try (EmulatedCaller caller = callLate(order("r1"))) {
				EmulatedCaller.Response response = caller.readResponse();
				assertThat(response.status(), is(503));
				assertThat(response.headers().get("connection"), is("close"));
				assertThat(response.headers().containsKey("retry-after"), is(true));
				assertThat(GatewayStopTests.this.plain.receivedRequests().isEmpty(), is(true));
			}
		}

		@Test
		void areToldSoForEachOfTheirRequests() throws Exception {
			try (EmulatedCaller caller = callLate(order("r1") + order("r2"))) {
				assertThat(caller.readResponse().status(), is(503));
				EmulatedCaller.Response second = caller.readResponse();
				assertThat(second.status(), is(503));
				assertThat(second.headers().get("connection"), is("close"));
			}
		}

		@Test
		void areNotAskedForABody() throws Exception {
			try (EmulatedCaller caller = callLate(
					order("r1").replace("Content-Length", "Expect: 100-continue\r\nContent-Length")
						.replace("\r\n\r\norder", "\r\n\r\n"))) {
				assertThat(caller.readResponse().status(), is(503));
			}
		}

	}

	/**
	 * Idle connections were closed with a request in the buffers of the kernel.
	 */
	@Nested
	class UnreadRequests {

		@Test
		void areServedWhenTheLoopStoodStill() throws Exception {
			try (EmulatedCaller caller = GatewayStopTests.this.fixture.caller()) {
				assertThat(caller.sendAndRead("POST", "/orders/x", "r1", "", "order").status(), is(200));
				// Both stalls and the drain become due together, so nothing is read in
				// between.
				GatewayStopTests.this.fixture.gateway()
					.loop()
					.schedule(() -> GatewayStopTests.sleep(250), DRAIN_START_MS - 100, TimeUnit.MILLISECONDS);
				GatewayStopTests.this.fixture.gateway()
					.loop()
					.schedule(() -> GatewayStopTests.sleep(300), DRAIN_START_MS - 50, TimeUnit.MILLISECONDS);
				GatewayStopTests.this.fixture.gateway().shutDown();
				Thread.sleep(DRAIN_START_MS + 300);
				assertThat(caller.sendAndRead("POST", "/orders/x", "r2", "", "order").status(), is(200));
			}
		}

	}

	/**
	 * Bytes that arrived after a close reset the connection, and the rest of the response
	 * was gone.
	 */
	@Nested
	class SlowReaders {

		private static final int RESPONSE_BYTES = 300_000;

		@Test
		void getTheWholeResponseAlsoIfTheySendMore() throws Exception {
			GatewayStopTests.this.plain.paddingBytes = RESPONSE_BYTES;
			GatewayStopTests.this.fixture.gateway().shutDown();
			try (Socket caller = new Socket()) {
				caller.setReceiveBufferSize(4_096);
				caller.connect(new InetSocketAddress("127.0.0.1", GatewayStopTests.this.fixture.port));
				caller.getOutputStream().write(order("r1").getBytes(StandardCharsets.US_ASCII));
				GatewayFixture
					.await(() -> GatewayStopTests.this.fixture.logOutput.toString().contains("\"request-ended\""));
				Thread.sleep(200);
				caller.getOutputStream().write(order("r2").getBytes(StandardCharsets.US_ASCII));
				Thread.sleep(200);
				InputStream input = caller.getInputStream();
				int received = 0;
				for (int count = input.read(new byte[4_096]); count >= 0; count = input.read(new byte[4_096])) {
					received += count;
				}
				assertThat(received, greaterThan(RESPONSE_BYTES));
			}
		}

	}

}
