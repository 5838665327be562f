package org.baobabknot.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.baobabknot.rules.RuleSet;
import org.baobabknot.simulation.FaultyNetwork;
import org.baobabknot.simulation.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Runs {@link ConfigurationView} under seeded schedules of faults.
 */
class ConfigurationScheduleTests {

	private static final int TICKS = 200;

	private static final int FAULTS_END = 100;

	// Guards against a revision that falls, and against processes that never learn the
	// last one when messages are late, lost, doubled or reordered and processes restart.
	@Test
	void neverFallsAndConverges() {
		Schedules.run((seed) -> new Simulation(seed).run());
	}

	private record Message(int sender, long known, Revision value) {
	}

	private static final class Simulation {

		private final RandomGenerator random;

		private final FaultyNetwork<Message> network;

		private final List<ConfigurationView> views = new ArrayList<>();

		private final long[] seen;

		private long store;

		Simulation(long seed) {
			this.random = Schedules.random(seed);
			this.network = new FaultyNetwork<>(this.random, 0.3, 0.2, 40);
			this.seen = new long[this.random.nextInt(2, 7)];
			for (int index = 0; index < this.seen.length; index++) {
				this.views.add(new ConfigurationView());
			}
		}

		String run() {
			for (int tick = 0; tick < TICKS; tick++) {
				faults(tick);
				for (FaultyNetwork.Delivery<Message> delivery : this.network.takeDue(tick)) {
					receive(delivery.to(), delivery.message(), tick);
				}
				ping(tick);
				for (int index = 0; index < this.seen.length; index++) {
					if (this.views.get(index).revision() < this.seen[index]) {
						return "revision of process %d fell from %d to %d at %d".formatted(index, this.seen[index],
								this.views.get(index).revision(), tick);
					}
					this.seen[index] = this.views.get(index).revision();
				}
			}
			long last = this.store;
			return this.views.stream().allMatch((view) -> view.revision() == last) ? "" : "not all converged";
		}

		private void faults(int tick) {
			if (tick >= FAULTS_END) {
				this.network.limitDelay(10);
				return;
			}
			int index = this.random.nextInt(this.seen.length);
			if (this.random.nextInt(20) == 0) {
				this.store++;
				this.views.get(index).adopt(revision(this.store));
			}
			else if (this.random.nextInt(40) == 0) {
				this.views.set(index, new ConfigurationView());
				this.seen[index] = 0;
				this.views.get(index).adopt(revision(this.store));
			}
		}

		private void receive(int to, Message message, int tick) {
			ConfigurationView view = this.views.get(to);
			if (message.value().revision() > 0) {
				view.adopt(message.value());
			}
			if (message.known() < view.revision()) {
				this.network.send(message.sender(), new Message(to, view.revision(), view.current()), tick);
			}
		}

		private void ping(int tick) {
			int from = this.random.nextInt(this.seen.length);
			for (int to = 0; to < this.seen.length; to++) {
				if (to != from) {
					this.network.send(to, new Message(from, this.views.get(from).revision(), Revision.NONE), tick);
				}
			}
		}

		private static Revision revision(long number) {
			return new Revision(number, "change-" + number, "", Instant.EPOCH, "", RuleSet.empty());
		}

	}

}
