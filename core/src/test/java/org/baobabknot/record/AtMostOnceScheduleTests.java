package org.baobabknot.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.baobabknot.schedule.EventLoop;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Seeded schedules of callers that repeat non-idempotent requests through entries with
 * different member lists, while agents crash, connections and messages are lost, and the
 * store is down or loses answers. Against {@link RequestRecord} and {@link ClaimBook}.
 */
class AtMostOnceScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int ORDERS = 8;

	private static final long END = 3000;

	// Guards against an order that runs twice, an order that runs although every answer
	// to its caller was "not run", and an answer for an order that did not run.
	@Test
	void ordersRunAtMostOnce() {
		int ran = 0;
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Run run = new Run(seed, true);
			run.play();
			assertThat("run twice, seed " + seed, run.doubled(), empty());
			assertThat("run although refused, seed " + seed, run.ranAlthoughRefused(), empty());
			assertThat("answered but not run, seed " + seed, run.answeredButNotRun(), empty());
			ran += run.ran.size();
		}
		assertThat("orders run", ran, greaterThan(SCHEDULES * ORDERS / 2));
	}

	// Guards against schedules that cannot detect a doubled order: with writes that do
	// not compare the version they must.
	@Test
	void schedulesDetectClaimsWithoutCompareAndSwap() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Run run = new Run(seed, false);
			run.play();
			violations += run.doubled().isEmpty() ? 0 : 1;
		}
		assertThat(violations, greaterThan(SCHEDULES / 100));
	}

	private static final class Run {

		private final EventLoop loop;

		private final SimulatedStore store;

		private final Map<String, SimulatedAgent> fleet = new HashMap<>();

		private final List<SimulatedAgent> agents = new ArrayList<>();

		private final List<Hash128> ran = new ArrayList<>();

		private final Map<Hash128, List<String>> told = new HashMap<>();

		private long nextId = 1;

		private Run(long seed, boolean compares) {
			this.loop = new EventLoop(seed);
			this.store = new SimulatedStore(this.loop, compares);
			for (int i = 0; i < 3; i++) {
				SimulatedAgent agent = new SimulatedAgent("agent-" + i, this.loop, this.store, this.fleet, this.ran);
				this.fleet.put(agent.name, agent);
				this.agents.add(agent);
			}
		}

		private void play() {
			for (int order = 0; order < ORDERS; order++) {
				boolean keyed = this.loop.chance(0.7);
				Hash128 key = keyed ? new Hash128(order, 77) : null;
				this.loop.after(0, 600, () -> new Call(this, key, 3).send(null));
			}
			this.loop.after(50, 700, this::outage);
			this.loop.after(20, 400, this::crash);
			this.loop.run(END);
		}

		private void outage() {
			this.store.down(true);
			this.loop.after(20, 200, () -> this.store.down(false));
		}

		private void crash() {
			SimulatedAgent agent = this.agents.get(this.loop.random().nextInt(this.agents.size()));
			agent.crash();
			this.loop.after(5, 150, agent::restart);
			if (this.loop.now() < 1200) {
				this.loop.after(20, 500, this::crash);
			}
		}

		private void tell(Hash128 order, String answer) {
			this.told.computeIfAbsent(order, (absent) -> new ArrayList<>()).add(answer);
		}

		private List<Hash128> doubled() {
			Set<Hash128> seen = new HashSet<>();
			List<Hash128> doubled = new ArrayList<>(this.ran);
			doubled.removeIf(seen::add);
			return doubled;
		}

		private List<Hash128> ranAlthoughRefused() {
			List<Hash128> wrong = new ArrayList<>();
			this.told.forEach((order, answers) -> {
				boolean allRefused = Collections.frequency(answers, "not-run") == answers.size();
				if (allRefused && this.ran.contains(order)) {
					wrong.add(order);
				}
			});
			return wrong;
		}

		private List<Hash128> answeredButNotRun() {
			List<Hash128> wrong = new ArrayList<>();
			this.told.forEach((order, answers) -> {
				if (answers.contains("ran") && !this.ran.contains(order)) {
					wrong.add(order);
				}
			});
			return wrong;
		}

	}

	/**
	 * One call of a caller through an entry, with the attempts that the entry makes.
	 */
	private static final class Call {

		private final Run run;

		private final EventLoop loop;

		@Nullable private final Hash128 key;

		private final int repeats;

		private final Hash128 order;

		private Hash128 id;

		private int attempts;

		private int stage;

		private Call(Run run, @Nullable Hash128 key, int repeats) {
			this.run = run;
			this.loop = run.loop;
			this.key = key;
			this.repeats = repeats;
			this.id = new Hash128(run.nextId++, 1);
			this.order = (key != null) ? key : this.id;
		}

		// Entries with different member lists choose different agents.
		private void send(@Nullable SimulatedAgent avoided) {
			SimulatedAgent agent = this.run.agents.get(this.loop.random().nextInt(this.run.agents.size()));
			if (agent == avoided) {
				agent = this.run.agents.get((this.run.agents.indexOf(agent) + 1) % this.run.agents.size());
			}
			SimulatedAgent chosen = agent;
			this.attempts++;
			int sent = ++this.stage;
			long incarnation = chosen.incarnation;
			Hash128 sentId = this.id;
			// A message on a stalled connection can arrive after its entry has given up.
			long latest = this.loop.chance(0.2) ? 400 : 15;
			if (!this.loop.chance(0.05)) {
				this.loop.after(1, latest, () -> chosen.start(sentId, this.key, this.order, incarnation, (answer) -> {
					if (!this.loop.chance(0.1)) {
						this.loop.after(1, 15, () -> answered(sent, chosen, answer));
					}
				}));
			}
			this.loop.after(150, 200, () -> lost(sent, chosen, incarnation));
		}

		private void answered(int sent, SimulatedAgent agent, SimulatedAgent.Answer answer) {
			if (sent != this.stage) {
				return;
			}
			this.stage++;
			switch (answer) {
				case RAN -> end("ran");
				case UNKNOWN -> end("unknown");
				case REFUSED -> sendAgain(agent, "not-run");
				case KEY_RUNNING -> end("running");
			}
		}

		// The entry resolves a request whose connection was lost over a new one.
		private void lost(int sent, SimulatedAgent agent, long incarnation) {
			if (sent != this.stage) {
				return;
			}
			this.stage++;
			this.loop.after(1, 20, () -> {
				Resolution said = this.loop.chance(0.1) ? null : agent.resolve(this.id, incarnation);
				if (this.loop.chance(0.2)) {
					this.loop.after(1, 50, () -> agent.resolve(this.id, incarnation));
				}
				this.loop.after(1, 20, () -> resolved(agent, said));
			});
		}

		private void resolved(SimulatedAgent agent, @Nullable Resolution said) {
			if (said instanceof Resolution.NotRun) {
				this.id = new Hash128(this.run.nextId++, 2);
				sendAgain(agent, "not-run");
			}
			else {
				end((said instanceof Resolution.Ran) ? "ran" : "unknown");
			}
		}

		private void sendAgain(SimulatedAgent agent, String otherwise) {
			if (this.attempts < 3) {
				this.loop.after(0, 30, () -> send(agent));
			}
			else {
				end(otherwise);
			}
		}

		// A caller with a key repeats its request, also while the first call is open.
		private void end(String answer) {
			this.run.tell(this.order, answer);
			if (this.key != null && this.repeats > 0 && this.loop.chance(0.7)) {
				this.loop.after(0, 200, () -> new Call(this.run, this.key, this.repeats - 1).send(null));
			}
		}

	}

}
