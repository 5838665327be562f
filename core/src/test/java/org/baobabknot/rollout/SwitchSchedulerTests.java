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
 * Tests for {@link SwitchScheduler} and {@link RolloutTable}.
 */
class SwitchSchedulerTests {

	private static final RolloutKey KEY = new RolloutKey("v2", 7);

	private static RolloutEntry entry(String instance, long incarnation, long sequence, RolloutPhase phase) {
		return new RolloutEntry(instance, incarnation, sequence, KEY, phase, 0);
	}

	// Guards against more replicas out than allowed with gossip of any age, and against a
	// rollout that stalls because agents crash, are slow or left the member list.
	@Test
	void keepsTheLimitAndFinishesUnderAnySchedule() {
		Schedules.runAll((seed) -> new RolloutSimulation(seed).run());
	}

	// Guards against old gossip of an earlier process that replaces that of its
	// successor.
	@Test
	void higherIncarnationThenSequenceTakesPrecedence() {
		RolloutTable table = new RolloutTable("a", 1);
		assertThat(table.merge("b", List.of(entry("b", 2, 1, RolloutPhase.READY)), 0), hasSize(1));
		assertThat(table.merge("b", List.of(entry("b", 1, 9, RolloutPhase.DONE)), 0), empty());
		assertThat(table.merge("b", List.of(entry("b", 2, 1, RolloutPhase.DONE)), 0), empty());
		assertThat(table.entry("b").orElseThrow().phase(), is(RolloutPhase.READY));
	}

	// Guards against gossip that is resent although nothing changed.
	@Test
	void deltaHoldsOnlyChanges() {
		RolloutTable table = new RolloutTable("a", 1);
		RolloutDelta first = table.delta("b", 0);
		assertThat(first.entries(), hasSize(1));
		assertThat(table.delta("b", first.stamp()).entries(), empty());
		table.announce(KEY, RolloutPhase.READY, 0);
		assertThat(table.delta("b", first.stamp()).entries(), hasSize(1));
	}

	// Guards against a restarted agent that switches before the others have acknowledged
	// its new process.
	@Test
	void waitsUntilPeersHaveAcknowledgedThisProcess() {
		RolloutTable table = new RolloutTable("a", 2);
		table.announce(KEY, RolloutPhase.READY, 0);
		SwitchScheduler scheduler = new SwitchScheduler(1_000);
		List<String> listedAgents = List.of("a", "b");
		table.merge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE), entry("a", 1, 5, RolloutPhase.READY)), 0);
		assertThat(scheduler.decide(table, listedAgents, 1, 0), instanceOf(SwitchDecision.Wait.class));
		table.merge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE), entry("a", 2, 0, RolloutPhase.FETCHING)), 0);
		assertThat(scheduler.decide(table, listedAgents, 1, 0), instanceOf(SwitchDecision.Switch.class));
	}

	// Guards against an old DONE that counts when a version is requested a second time.
	@Test
	void ignoresTheFirstRolloutOfAVersionInTheSecond() {
		RolloutTable table = new RolloutTable("a", 1);
		table.merge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE), entry("a", 1, 0, RolloutPhase.FETCHING)), 0);
		RolloutKey secondKey = table.keyFor("v2", 9);
		assertThat(secondKey, is(new RolloutKey("v2", 9)));
		table.announce(secondKey, RolloutPhase.READY, 0);
		assertThat(new SwitchScheduler(1_000).decide(table, List.of("a", "b"), 1, 0),
				instanceOf(SwitchDecision.Wait.class));
	}

	// Guards against processes that never agree on a rollout because they skipped
	// revisions.
	@Test
	void adoptsTheHighestEpochCoveredByItsRevision() {
		RolloutTable table = new RolloutTable("a", 1);
		table.announce(new RolloutKey("v2", 3), RolloutPhase.DONE, 0);
		table.merge("b", List.of(entry("b", 1, 1, RolloutPhase.DONE)), 0);
		assertThat(table.keyFor("v2", 6).epoch(), is(3L));
		assertThat(table.keyFor("v2", 7).epoch(), is(7L));
	}

	// Guards against an agent that cannot fetch and blocks all agents ordered after it.
	@Test
	void movesBackWhenNotReadyInTime() {
		RolloutTable table = new RolloutTable("a", 1);
		table.announce(KEY, RolloutPhase.FETCHING, 0);
		SwitchScheduler scheduler = new SwitchScheduler(1_000);
		assertThat(scheduler.decide(table, List.of("a"), 1, 0), instanceOf(SwitchDecision.Wait.class));
		assertThat(scheduler.decide(table, List.of("a"), 1, 500), is(new SwitchDecision.MoveBack(1)));
	}

}
