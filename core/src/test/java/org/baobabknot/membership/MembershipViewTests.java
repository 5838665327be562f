package org.baobabknot.membership;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link MembershipView}.
 */
class MembershipViewTests {

	private static final Member A = agent("a", "d1");

	private static final Member B = agent("b", "d2");

	private final MembershipView view = new MembershipView();

	private static Member agent(String instance, String domain) {
		return new Member(instance, MemberRole.AGENT, domain, "r", "127.0.0.1", 1, "translation", MemberState.LIVE);
	}

	// Guards against a delayed update bringing back removed members.
	@Test
	void ignoresOutdatedUpdates() {
		this.view.apply(MemberUpdate.full(5, List.of(A)));
		assertThat(this.view.apply(MemberUpdate.full(4, List.of(A, B))), instanceOf(MemberUpdateResult.Outdated.class));
		assertThat(this.view.apply(MemberUpdate.changes(3, 5, List.of(B))),
				instanceOf(MemberUpdateResult.Outdated.class));
		assertThat(this.view.members(), contains(A));
	}

	// Guards against changes applied on top of a list that lacks earlier ones.
	@Test
	void refusesChangesAcrossAGap() {
		this.view.apply(MemberUpdate.full(5, List.of(A)));
		assertThat(this.view.apply(MemberUpdate.changes(6, 7, List.of(B))), is(new MemberUpdateResult.Gap(5)));
	}

	// Guards against lookups that miss a change or mix roles.
	@Test
	void lookupsReflectUpdates() {
		Member entry = new Member("e", MemberRole.ENTRY, "d1", "r", "127.0.0.1", 1, "", MemberState.LIVE);
		this.view.apply(MemberUpdate.full(1, List.of(A, entry)));
		this.view.apply(MemberUpdate.changes(1, 2, List.of(B, A.withState(MemberState.LEAVING))));
		assertThat(this.view.agents("translation", "d1"), contains(A.withState(MemberState.LEAVING)));
		assertThat(this.view.agents("translation", "d2"), contains(B));
		assertThat(this.view.entries("d1"), contains(entry));
		this.view.apply(MemberUpdate.changes(2, 3, List.of(B.withState(MemberState.GONE))));
		assertThat(this.view.agents("translation", "d2"), empty());
	}

	// Guards against a peer that is served changes from the middle and misses some.
	@Test
	void servesChangesOrTheWholeList() {
		this.view.apply(MemberUpdate.full(5, List.of(A)));
		this.view.apply(MemberUpdate.changes(5, 6, List.of(B)));
		assertThat(this.view.updateSince(6).isEmpty(), is(true));
		assertThat(this.view.updateSince(5).orElseThrow(), is(MemberUpdate.changes(5, 6, List.of(B))));
		assertThat(this.view.updateSince(4).orElseThrow(), is(MemberUpdate.full(6, List.of(A, B))));
		MembershipView peer = new MembershipView();
		peer.apply(this.view.updateSince(0).orElseThrow());
		assertThat(peer.members(), is(this.view.members()));
	}

	// Guards against listeners called while the lock is held, which can deadlock.
	@Test
	void callsListenersOutsideTheLock() {
		List<Long> notifiedVersions = new ArrayList<>();
		this.view.addListener((snapshot) -> {
			notifiedVersions.add(snapshot.version());
			if (snapshot.version() < 3) {
				this.view.apply(MemberUpdate.full(snapshot.version() + 1, List.of(A)));
			}
		});
		this.view.apply(MemberUpdate.full(1, List.of(A)));
		assertThat(notifiedVersions, contains(1L, 2L, 3L));
	}

}
