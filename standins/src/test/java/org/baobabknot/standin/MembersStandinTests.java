package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.members.ChangeResult;
import org.baobabknot.members.HttpMemberList;
import org.baobabknot.members.ListedMember;
import org.baobabknot.members.MemberList;
import org.baobabknot.members.MembersResult;
import org.baobabknot.standin.members.MembersStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

/**
 * Tests the membership adapter against the membership stand-in.
 */
class MembersStandinTests {

	private static final ListedMember AGENT = new ListedMember("agent-1", ListedMember.Role.AGENT, "a", "a",
			"127.0.0.1", 4001, "translation", ListedMember.State.LIVE);

	private static final ListedMember ENTRY = new ListedMember("entry-1", ListedMember.Role.ENTRY, "b", "b",
			"127.0.0.1", 4002, "", ListedMember.State.LIVE);

	private final StandinFixture fixture = new StandinFixture();

	private StandinServer server;

	private HttpClient client;

	private MemberList list;

	@BeforeEach
	void start() {
		this.server = this.fixture.start(new MembersStandin(0));
		this.client = this.fixture.client(this.server.port());
		this.list = new HttpMemberList(this.client, "b", Duration.ofSeconds(10));
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static <T> T await(CompletableFuture<T> future) throws Exception {
		return future.get(30, TimeUnit.SECONDS);
	}

	private MembersResult.Received poll(long above) throws Exception {
		return (MembersResult.Received) await(this.list.poll(above));
	}

	// Guards against a poll that misses a change or repeats the whole list each time.
	@Test
	void pollsGiveTheListAndThenChanges() throws Exception {
		await(this.list.register(AGENT));
		await(this.list.register(ENTRY));
		assertThat(poll(0), equalTo(new MembersResult.Received(2, true, List.of(AGENT, ENTRY))));
		await(this.list.markLeaving("agent-1"));
		MembersResult.Received changes = poll(2);
		assertThat(changes.full(), equalTo(false));
		assertThat(changes.members().get(0).state(), equalTo(ListedMember.State.LEAVING));
		await(this.list.remove("agent-1"));
		assertThat(poll(3).members().get(0).state(), equalTo(ListedMember.State.GONE));
		assertThat(poll(0).members(), equalTo(List.of(ENTRY)));
		assertThat(poll(4).members(), empty());
	}

	// Guards against a lag fault without effect: tests need a list older than the fleet.
	@Test
	void lagHidesRecentChanges() throws Exception {
		this.server.activateFault(StandinFixture.fault("lag").put("ms", 60_000));
		await(this.list.register(AGENT));
		assertThat(poll(0).members(), empty());
		this.server.clearFaults(Optional.of("lag"));
		assertThat(poll(0).members(), equalTo(List.of(AGENT)));
	}

	// Guards against traffic between failure domains that bypasses the links.
	@Test
	void addressesDependOnTheViewer() throws Exception {
		byte[] route = "{\"b\":{\"host\":\"127.0.0.1\",\"port\":5001}}".getBytes(StandardCharsets.UTF_8);
		await(this.client.send(HttpCall.of("PUT", "/v1/routes/agent-1", Duration.ofSeconds(10)), route));
		await(this.list.register(AGENT));
		assertThat(poll(0).members().get(0).port(), equalTo(5001));
		MemberList other = new HttpMemberList(this.client, "a", Duration.ofSeconds(10));
		assertThat(((MembersResult.Received) await(other.poll(0))).members().get(0).port(), equalTo(4001));
	}

	// Guards against reporting success in an outage or for an unknown instance.
	@Test
	void failuresNameStepAndPeer() throws Exception {
		assertThat(await(this.list.markLeaving("nobody")), instanceOf(ChangeResult.Failed.class));
		this.server.activateFault(StandinFixture.fault("outage"));
		MembersResult.Failed failed = (MembersResult.Failed) await(this.list.poll(0));
		assertThat(failed.failure().peer(), equalTo("127.0.0.1:" + this.server.port()));
		assertThat(failed.failure().step(), equalTo("read answer"));
	}

}
