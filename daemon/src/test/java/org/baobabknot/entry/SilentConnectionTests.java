package org.baobabknot.entry;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Outcome;
import org.baobabknot.settings.Settings;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.links.LinksStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests connections between an entry and an agent that permanently stop delivering data
 * while new connections work.
 */
class SilentConnectionTests {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final LinksStandin links = new LinksStandin(List.of());

	private StandinServer server;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.server = StandinServer.start(this.group, 0, this.links);
		this.fixture = new EntryFixture(1, new Settings.Http("127.0.0.1", 0, 64, 4096, 1 << 20, 5_000, 5_000, 60_000),
				(port) -> this.links.openForwarder("d", "d", "127.0.0.1", port));
	}

	@AfterEach
	void stop() {
		this.fixture.close();
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private void silenceConnections() {
		this.server.activateFault(JsonNodeFactory.instance.objectNode().put("kind", "silent"));
	}

	// Guards against a non-idempotent request (an order) that is lost, or run twice,
	// when its connection stops delivering data.
	@Test
	void orderOnASilentConnectionIsResolvedOnANewOne() throws Exception {
		AtomicInteger attempts = new AtomicInteger();
		this.fixture.agents.get(0).script = (stream, first) -> {
			if (first.hasResolve()) {
				return FakeAgent.resolve(stream, Outcome.RAN);
			}
			attempts.incrementAndGet();
			silenceConnections();
			return FakeAgent.ignore(stream, first);
		};
		try (RawCaller caller = this.fixture.caller()) {
			caller.post("/s/orders", "order");
			assertThat(caller.readResponse().body(), is("recorded"));
			assertThat(attempts.get(), is(1));
			assertThat(this.fixture.daemon.context().counters().pongTimeouts().sum(), greaterThanOrEqualTo(1L));
		}
	}

	// Guards against a late response on the old connection that is sent to the caller of
	// another request.
	@Test
	void lateResponseOnTheOldConnectionIsDropped() throws Exception {
		Stream[] firstStream = new Stream[1];
		AtomicInteger attempts = new AtomicInteger();
		this.fixture.agents.get(0).script = (stream, first) -> {
			if (attempts.getAndIncrement() == 0) {
				firstStream[0] = stream;
				silenceConnections();
				return FakeAgent.ignore(stream, first);
			}
			FakeAgent.sendResponse(firstStream[0], "late");
			return FakeAgent.echo(stream, first);
		};
		try (RawCaller caller = this.fixture.caller()) {
			caller.post("/s/x", "first");
			assertThat(caller.readResponse().body(), is("first"));
			caller.post("/s/x", "second");
			assertThat(caller.readResponse().body(), is("second"));
		}
	}

}
