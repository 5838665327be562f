package org.baobabknot.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link LoadGenerator} against a small HTTP server.
 */
class LoadGeneratorTests {

	private final AtomicInteger stallRequests = new AtomicInteger();

	private final LoadReport report = new LoadReport();

	private HttpServer server;

	private HttpCaller caller;

	private LoadGenerator generator;

	@BeforeEach
	void startServer() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(Executors.newSingleThreadExecutor());
		this.server.createContext("/right", (exchange) -> respond(exchange, 200, "right"));
		this.server.createContext("/refused",
				(exchange) -> respond(exchange, 503, "{\"type\":\"urn:baobabknot:not-run:queue-full\"}"));
		this.server.createContext("/cut", LoadGeneratorTests::cut);
		this.server.createContext("/stall", this::stall);
		this.server.start();
		this.caller = new HttpCaller(1, 5_000);
		this.generator = new LoadGenerator(this.caller, EntryChooser.fixed(this.server.getAddress()), this.report);
	}

	@AfterEach
	void stopServer() {
		this.caller.close();
		this.server.stop(0);
	}

	private static void respond(HttpExchange exchange, int status, String body) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.sendResponseHeaders(status, body.length());
		exchange.getResponseBody().write(body.getBytes());
		exchange.close();
	}

	private static void cut(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.sendResponseHeaders(200, 100);
		exchange.getResponseBody().write("begin".getBytes());
		exchange.getResponseBody().flush();
		throw new IOException("cut");
	}

	private void stall(HttpExchange exchange) throws IOException {
		if (this.stallRequests.getAndIncrement() == 0) {
			try {
				Thread.sleep(400);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		respond(exchange, 200, "right");
	}

	private LoadRequest request(String path) {
		return new LoadRequest("1", "test", "GET", path, Map.of(), new byte[0],
				(response) -> response.text().equals("right") ? Optional.empty() : Optional.of(response.text()));
	}

	@Nested
	class Outcomes {

		// Guards against an interrupted response or a refusal being counted as a complete
		// one.
		@Test
		void distinguishesWholeRefusedAndInterruptedResponses() {
			send("/right");
			send("/refused");
			send("/cut");
			assertThat(LoadGeneratorTests.this.report.count(LoadOutcome.WHOLE), is(1));
			assertThat(LoadGeneratorTests.this.report.count(LoadOutcome.REFUSED), is(1));
			assertThat(LoadGeneratorTests.this.report.count(LoadOutcome.LOST), is(1));
		}

		// Guards against a wrong response with status 200 passing the check.
		@Test
		void reportsWrongResponse() {
			LoadRequest wrong = new LoadRequest("1", "test", "GET", "/right", Map.of(), new byte[0],
					(response) -> Optional.of("other text expected"));
			LoadGeneratorTests.this.generator.send(wrong, System.nanoTime()).join();
			assertThat(LoadGeneratorTests.this.report.count(LoadOutcome.WRONG), is(1));
		}

		private void send(String path) {
			LoadGeneratorTests.this.generator.send(request(path), System.nanoTime()).join();
		}

	}

	@Nested
	class Loops {

		// Guards against coordinated omission: a stall of 400 ms delays all requests due
		// within it, not only the one in flight.
		@Test
		void measuresLatencyFromIntendedStart() {
			LoadGeneratorTests.this.generator.openLoop(100, 800, new Random(5), () -> request("/stall"));
			long delayed = LoadGeneratorTests.this.report.samples()
				.stream()
				.filter((sample) -> sample.latencyNanos() > TimeUnit.MILLISECONDS.toNanos(100))
				.count();
			assertThat(delayed, greaterThan(10L));
		}

		// Guards against a loop that returns before its last responses are counted.
		@Test
		void waitsForAllResponsesOfClosedLoopCallers() {
			LoadGeneratorTests.this.generator.closedLoop(4, 200, () -> request("/right"));
			assertThat(LoadGeneratorTests.this.report.requestCount(), greaterThanOrEqualTo(4));
			assertThat(LoadGeneratorTests.this.report.count(LoadOutcome.WHOLE),
					is(LoadGeneratorTests.this.report.requestCount()));
		}

	}

}
