package org.baobabknot.rollout;

import java.util.List;

import org.baobabknot.simulation.Schedules;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link SwitchRank} and {@link RolloutView}.
 */
class SwitchRankTests {

	private static final RolloutKey KEY = new RolloutKey("v2", 7);

	private static RolloutEntry entry(String instance, long incarnation, long sequence, RolloutPhase phase) {
		return new RolloutEntry(instance, incarnation, sequence, KEY, phase, 0);
	}

	// Guards against more replicas out than allowed under gossip of any age, and against
	// a rollout that stops because agents crash, are slow or left the list.
	@Test
	void keepsTheLimitAndFinishesUnderAnySchedule() {
		Schedules.runAll((seed) -> new RolloutSimulation(seed).run());
	}

	// Guards against old gossip of a former process replacing that of its successor.
	@Test
	void theHigherIncarnationThenSequenceWins() {
		RolloutView view = new RolloutView("a", 1);
		assertThat(view.tryMerge("b", List.of(entry("b", 2, 1, RolloutPhase.READY)), 0), hasSize(1));
		assertThat(view.tryMerge("b", List.of(entry("b", 1, 9, RolloutPhase.DONE)), 0), empty());
		assertThat(view.tryMerge("b", List.of(entry("b", 2, 1, RolloutPhase.DONE)), 0), empty());
		assertThat(view.entry("b").orElseThrow().phase(), is(RolloutPhase.READY));
	}

	// Guards against gossip that is sent again although nothing changed.
	@Test
	void deltaHoldsOnlyChanges() {
		RolloutView view = new RolloutView("a", 1);
		RolloutDelta first = view.delta("b", 0);
		assertThat(first.entries(), hasSize(1));
		assertThat(view.delta("b", first.stamp()).entries(), empty());
		view.announce(KEY, RolloutPhase.READY, 0);
		assertThat(view.delta("b", first.stamp()).entries(), hasSize(1));
	}

	// Guards against a restarted agent that switches before the others know
	// that it is back.
	@Test
	void waitsUntilPeersKnowThisProcess() {
		RolloutView view = new RolloutView("a", 2);
		view.announce(KEY, RolloutPhase.READY, 0);
		SwitchRank rank = new SwitchRank(1_000);
		List<String> listed = List.of("a", "b");
		view.tryMerge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE), entry("a", 1, 5, RolloutPhase.READY)), 0);
		assertThat(rank.decide(view, listed, 1, 0), instanceOf(SwitchDecision.Wait.class));
		view.tryMerge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE), entry("a", 2, 0, RolloutPhase.FETCHING)), 0);
		assertThat(rank.decide(view, listed, 1, 0), instanceOf(SwitchDecision.Switch.class));
	}

	// Guards against an old DONE that counts when a version is asked for a second time.
	@Test
	void ignoresTheFirstRolloutOfAVersionInTheSecond() {
		RolloutView view = new RolloutView("a", 1);
		view.tryMerge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE), entry("a", 1, 0, RolloutPhase.FETCHING)), 0);
		RolloutKey again = view.keyFor("v2", 9);
		assertThat(again, is(new RolloutKey("v2", 9)));
		view.announce(again, RolloutPhase.READY, 0);
		assertThat(new SwitchRank(1_000).decide(view, List.of("a", "b"), 1, 0), instanceOf(SwitchDecision.Wait.class));
	}

	// Guards against processes that skipped revisions and never agree on a rollout.
	@Test
	void adoptsTheHighestEpochCoveredByItsRevision() {
		RolloutView view = new RolloutView("a", 1);
		view.announce(new RolloutKey("v2", 3), RolloutPhase.DONE, 0);
		view.tryMerge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE)), 0);
		assertThat(view.keyFor("v2", 6).epoch(), is(3L));
		assertThat(view.keyFor("v2", 7).epoch(), is(7L));
	}

	// Guards against an agent that cannot fetch and holds up all that come after it.
	@Test
	void movesBackWhenNotReadyInTime() {
		RolloutView view = new RolloutView("a", 1);
		view.announce(KEY, RolloutPhase.FETCHING, 0);
		SwitchRank rank = new SwitchRank(1_000);
		assertThat(rank.decide(view, List.of("a"), 1, 0), instanceOf(SwitchDecision.Wait.class));
		assertThat(rank.decide(view, List.of("a"), 1, 500), is(new SwitchDecision.MoveBack(1)));
	}

}
