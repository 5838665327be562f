package org.baobabknot.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.baobabknot.schedule.SimulatedEventLoop;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Runs {@link RequestRecord} and {@link ClaimRegistry} under seeded schedules. Callers
 * repeat non-idempotent requests through entries with different member lists, while
 * agents crash, connections and messages are lost, and the store is down or loses
 * responses.
 */
class AtMostOnceScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int ORDERS_PER_SCHEDULE = 8;

	private static final long END_MS = 3000;

	// Guards against an order that runs twice, an order that runs although every response
	// to its caller was "not run", and a result for an order that did not run.
	@Test
	void ordersRunAtMostOnce() {
		int totalRun = 0;
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Simulation simulation = new Simulation(seed, true);
			simulation.run();
			assertThat("run twice, seed " + seed, simulation.ordersRunTwice(), empty());
			assertThat("run though refused, seed " + seed, simulation.ordersRunThoughRefused(), empty());
			assertThat("completed but not run, seed " + seed, simulation.ordersCompletedButNotRun(), empty());
			totalRun += simulation.ordersRun.size();
		}
		assertThat("orders run", totalRun, greaterThan(SCHEDULES * ORDERS_PER_SCHEDULE / 2));
	}

	// Guards against schedules that cannot detect an order that runs twice: with a store
	// that does not compare versions they must detect one.
	@Test
	void schedulesDetectClaimsWithoutCompareAndSwap() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Simulation simulation = new Simulation(seed, false);
			simulation.run();
			violations += simulation.ordersRunTwice().isEmpty() ? 0 : 1;
		}
		assertThat(violations, greaterThan(SCHEDULES / 100));
	}

	private static final class Simulation {

		private final SimulatedEventLoop loop;

		private final SimulatedStore store;

		private final Map<String, SimulatedAgent> agentsByName = new HashMap<>();

		private final List<SimulatedAgent> agents = new ArrayList<>();

		private final List<Hash128> ordersRun = new ArrayList<>();

		private final Map<Hash128, List<String>> responsesByOrder = new HashMap<>();

		private long nextId = 1;

		private Simulation(long seed, boolean comparesVersions) {
			this.loop = new SimulatedEventLoop(seed);
			this.store = new SimulatedStore(this.loop, comparesVersions);
			for (int i = 0; i < 3; i++) {
				SimulatedAgent agent = new SimulatedAgent("agent-" + i, this.loop, this.store, this.agentsByName,
						this.ordersRun);
				this.agentsByName.put(agent.name, agent);
				this.agents.add(agent);
			}
		}

		private void run() {
			for (int order = 0; order < ORDERS_PER_SCHEDULE; order++) {
				boolean hasKey = this.loop.randomBoolean(0.7);
				Hash128 key = hasKey ? new Hash128(order, 77) : null;
				this.loop.schedule(0, 600, () -> new CallerRequest(this, key, 3).send(null));
			}
			this.loop.schedule(50, 700, this::outage);
			this.loop.schedule(20, 400, this::crash);
			this.loop.runUntil(END_MS);
		}

		private void outage() {
			this.store.down(true);
			this.loop.schedule(20, 200, () -> this.store.down(false));
		}

		private void crash() {
			SimulatedAgent agent = this.agents.get(this.loop.random().nextInt(this.agents.size()));
			agent.crash();
			this.loop.schedule(5, 150, agent::restart);
			if (this.loop.now() < 1200) {
				this.loop.schedule(20, 500, this::crash);
			}
		}

		private void recordResponse(Hash128 order, String response) {
			this.responsesByOrder.computeIfAbsent(order, (absent) -> new ArrayList<>()).add(response);
		}

		private List<Hash128> ordersRunTwice() {
			Set<Hash128> distinct = new HashSet<>();
			List<Hash128> repeated = new ArrayList<>(this.ordersRun);
			repeated.removeIf(distinct::add);
			return repeated;
		}

		private List<Hash128> ordersRunThoughRefused() {
			List<Hash128> violations = new ArrayList<>();
			this.responsesByOrder.forEach((order, answers) -> {
				boolean allRefused = Collections.frequency(answers, "not-run") == answers.size();
				if (allRefused && this.ordersRun.contains(order)) {
					violations.add(order);
				}
			});
			return violations;
		}

		private List<Hash128> ordersCompletedButNotRun() {
			List<Hash128> violations = new ArrayList<>();
			this.responsesByOrder.forEach((order, answers) -> {
				if (answers.contains("ran") && !this.ordersRun.contains(order)) {
					violations.add(order);
				}
			});
			return violations;
		}

	}

	/**
	 * A caller's request through one entry, with the attempts that the entry makes.
	 */
	private static final class CallerRequest {

		private final Simulation simulation;

		private final SimulatedEventLoop loop;

		@Nullable private final Hash128 key;

		private final int remainingRepeats;

		private final Hash128 order;

		private Hash128 requestId;

		private int attempts;

		private int step;

		private CallerRequest(Simulation simulation, @Nullable Hash128 key, int remainingRepeats) {
			this.simulation = simulation;
			this.loop = simulation.loop;
			this.key = key;
			this.remainingRepeats = remainingRepeats;
			this.requestId = new Hash128(simulation.nextId++, 1);
			this.order = (key != null) ? key : this.requestId;
		}

		// Chooses an agent at random, because entries with different member lists choose
		// different agents.
		private void send(@Nullable SimulatedAgent avoided) {
			SimulatedAgent agent = this.simulation.agents
				.get(this.loop.random().nextInt(this.simulation.agents.size()));
			if (agent == avoided) {
				agent = this.simulation.agents
					.get((this.simulation.agents.indexOf(agent) + 1) % this.simulation.agents.size());
			}
			SimulatedAgent chosen = agent;
			this.attempts++;
			int sentStep = ++this.step;
			long incarnation = chosen.incarnation;
			Hash128 sentId = this.requestId;
			// A message on a stalled connection can arrive after the entry's timeout.
			long maxDelayMs = this.loop.randomBoolean(0.2) ? 400 : 15;
			if (!this.loop.randomBoolean(0.05)) {
				this.loop.schedule(1, maxDelayMs,
						() -> chosen.start(sentId, this.key, this.order, incarnation, (response) -> {
							if (!this.loop.randomBoolean(0.1)) {
								this.loop.schedule(1, 15, () -> onResponse(sentStep, chosen, response));
							}
						}));
			}
			this.loop.schedule(150, 200, () -> onConnectionLost(sentStep, chosen, incarnation));
		}

		private void onResponse(int sentStep, SimulatedAgent agent, SimulatedAgent.Response response) {
			if (sentStep != this.step) {
				return;
			}
			this.step++;
			switch (response) {
				case RAN -> end("ran");
				case UNKNOWN -> end("unknown");
				case REFUSED -> retry(agent, "not-run");
				case KEY_RUNNING -> end("running");
			}
		}

		// After a lost connection, the entry resolves the request over a new connection.
		private void onConnectionLost(int sentStep, SimulatedAgent agent, long incarnation) {
			if (sentStep != this.step) {
				return;
			}
			this.step++;
			this.loop.schedule(1, 20, () -> {
				Resolution resolution = this.loop.randomBoolean(0.1) ? null
						: agent.resolve(this.requestId, incarnation);
				if (this.loop.randomBoolean(0.2)) {
					this.loop.schedule(1, 50, () -> agent.resolve(this.requestId, incarnation));
				}
				this.loop.schedule(1, 20, () -> onResolution(agent, resolution));
			});
		}

		private void onResolution(SimulatedAgent agent, @Nullable Resolution resolution) {
			if (resolution instanceof Resolution.NotRun) {
				this.requestId = new Hash128(this.simulation.nextId++, 2);
				retry(agent, "not-run");
			}
			else {
				end((resolution instanceof Resolution.Ran) ? "ran" : "unknown");
			}
		}

		private void retry(SimulatedAgent agent, String finalResponse) {
			if (this.attempts < 3) {
				this.loop.schedule(0, 30, () -> send(agent));
			}
			else {
				end(finalResponse);
			}
		}

		// A caller with a key may repeat its request, also while an earlier request is in
		// flight.
		private void end(String response) {
			this.simulation.recordResponse(this.order, response);
			if (this.key != null && this.remainingRepeats > 0 && this.loop.randomBoolean(0.7)) {
				this.loop.schedule(0, 200,
						() -> new CallerRequest(this.simulation, this.key, this.remainingRepeats - 1).send(null));
			}
		}

	}

}
