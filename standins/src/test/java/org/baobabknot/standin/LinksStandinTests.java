package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpResult;
import org.baobabknot.standin.links.LinkSettings;
import org.baobabknot.standin.links.LinksStandin;
import org.baobabknot.standin.plain.PlainSettings;
import org.baobabknot.standin.plain.PlainStandin;
import org.baobabknot.weights.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;

/**
 * Tests links in front of a plain service.
 */
class LinksStandinTests {

	private static final byte[] ORDER = "order".getBytes(StandardCharsets.UTF_8);

	private final StandinFixture fixture = new StandinFixture();

	private final PlainStandin plain = new PlainStandin(PlainSettings.of("orders", "b"));

	private StandinServer serviceServer;

	private StandinServer linksServer;

	private LinksStandin links;

	@BeforeEach
	void start() {
		this.serviceServer = this.fixture.start(this.plain);
		this.links = new LinksStandin(List.of(new LinkSettings("a", "b", 200_000, 20)));
		this.linksServer = this.fixture.start(this.links);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private HttpClient clientFrom(String from) {
		return this.fixture.client(this.links.openForwarder(from, "b", "127.0.0.1", this.serviceServer.port()));
	}

	private static CompletableFuture<HttpResult> send(HttpClient client, byte[] body, int timeoutMillis) {
		HttpCall call = HttpCall.of("POST", "/order", Duration.ofMillis(timeoutMillis))
			.withHeader("X-Request-Id", "r1");
		return client.send(call, body);
	}

	private static HttpResult await(CompletableFuture<HttpResult> future) throws Exception {
		return future.get(30, TimeUnit.SECONDS);
	}

	// Guards against a link that changes bytes, and against one without delay.
	@Test
	void linksDelayBytesWithoutChangingThem() throws Exception {
		long start = System.nanoTime();
		HttpResult.Response response = (HttpResult.Response) await(send(clientFrom("a"), ORDER, 10_000));
		assertThat(new String(response.body(), StandardCharsets.UTF_8),
				equalTo(PlainStandin.responseBody("POST", "/order", "r1", Digests.of(ORDER))));
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start), greaterThan(38L));
	}

	// Guards against giving each connection the full rate of a shared link.
	@Test
	void connectionsShareTheRate() throws Exception {
		long start = System.nanoTime();
		CompletableFuture<HttpResult> first = send(clientFrom("a"), new byte[60_000], 20_000);
		CompletableFuture<HttpResult> second = send(clientFrom("a"), new byte[60_000], 20_000);
		assertThat(await(first), instanceOf(HttpResult.Response.class));
		assertThat(await(second), instanceOf(HttpResult.Response.class));
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start), greaterThan(580L));
	}

	// Guards against a cut that leaves connections open or affects other pairs.
	@Test
	void cutClosesAndRefusesOnlyThePair() throws Exception {
		HttpClient cut = clientFrom("a");
		HttpClient other = clientFrom("c");
		await(send(cut, ORDER, 10_000));
		this.linksServer.activateFault(StandinFixture.fault("cut").put("from", "b").put("to", "a"));
		assertThat(await(send(cut, ORDER, 10_000)), instanceOf(HttpResult.Failed.class));
		assertThat(await(send(other, ORDER, 10_000)), instanceOf(HttpResult.Response.class));
		this.linksServer.clearFaults(Optional.empty());
		assertThat(await(send(cut, ORDER, 10_000)), instanceOf(HttpResult.Response.class));
	}

	// Guards against a silent connection that recovers, or new connections that are
	// silent.
	@Test
	void silentStopsExistingConnectionsForGood() throws Exception {
		HttpClient client = clientFrom("a");
		await(send(client, ORDER, 10_000));
		this.linksServer.activateFault(StandinFixture.fault("silent").put("from", "a").put("to", "b"));
		assertThat(await(send(client, ORDER, 500)), instanceOf(HttpResult.Failed.class));
		assertThat(this.plain.runs().size(), equalTo(1));
		assertThat(await(send(client, ORDER, 10_000)), instanceOf(HttpResult.Response.class));
	}

	// Guards against losing data during a stall.
	@Test
	void stallHoldsDataUntilItEnds() throws Exception {
		HttpClient client = clientFrom("a");
		this.linksServer.activateFault(StandinFixture.fault("stall").put("from", "*").put("to", "*"));
		CompletableFuture<HttpResult> response = send(client, ORDER, 20_000);
		Thread.sleep(200);
		assertThat(response.isDone(), equalTo(false));
		this.linksServer.clearFaults(Optional.empty());
		assertThat(await(response), instanceOf(HttpResult.Response.class));
	}

	// Guards against a run log without the requests whose response was lost.
	@Test
	void runLogKeepsRequestsWhoseResponseWasLost() throws Exception {
		this.serviceServer.activateFault(StandinFixture.fault("lost_answer").put("times", 1));
		assertThat(await(send(clientFrom("a"), ORDER, 10_000)), instanceOf(HttpResult.Failed.class));
		assertThat(this.plain.runs().get(0).requestId(), equalTo("r1"));
		assertThat(this.plain.runs().get(0).bodyDigest(), equalTo(Digests.of(ORDER)));
	}

}
