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
 * Runs {@link ConfigurationView} under seeded schedules of message faults and restarts.
 */
class ConfigurationScheduleTests {

	private static final int TICKS = 200;

	private static final int LAST_FAULT_TICK = 100;

	// Guards against a revision that decreases, and against processes that never receive
	// the last revision when messages are delayed, lost, duplicated or reordered and
	// processes restart.
	@Test
	void neverFallsAndConverges() {
		Schedules.runAll((seed) -> new Simulation(seed).run());
	}

	private record Message(int sender, long senderRevision, Revision value) {
	}

	private static final class Simulation {

		private final RandomGenerator random;

		private final FaultyNetwork<Message> network;

		private final List<ConfigurationView> views = new ArrayList<>();

		private final long[] highestRevisions;

		private long storeRevision;

		Simulation(long seed) {
			this.random = Schedules.createRandom(seed);
			this.network = new FaultyNetwork<>(this.random, 0.3, 0.2, 40);
			this.highestRevisions = new long[this.random.nextInt(2, 7)];
			for (int index = 0; index < this.highestRevisions.length; index++) {
				this.views.add(new ConfigurationView());
			}
		}

		String run() {
			for (int tick = 0; tick < TICKS; tick++) {
				injectFaults(tick);
				for (FaultyNetwork.Delivery<Message> delivery : this.network.removeArrived(tick)) {
					receive(delivery.receiver(), delivery.message(), tick);
				}
				ping(tick);
				for (int index = 0; index < this.highestRevisions.length; index++) {
					if (this.views.get(index).revision() < this.highestRevisions[index]) {
						return "revision of process %d decreased from %d to %d at tick %d".formatted(index,
								this.highestRevisions[index], this.views.get(index).revision(), tick);
					}
					this.highestRevisions[index] = this.views.get(index).revision();
				}
			}
			long lastRevision = this.storeRevision;
			return this.views.stream().allMatch((view) -> view.revision() == lastRevision) ? ""
					: "not all processes have the last revision";
		}

		private void injectFaults(int tick) {
			if (tick >= LAST_FAULT_TICK) {
				this.network.setMaxDelay(10);
				return;
			}
			int index = this.random.nextInt(this.highestRevisions.length);
			if (this.random.nextInt(20) == 0) {
				this.storeRevision++;
				this.views.get(index).adopt(revision(this.storeRevision));
			}
			else if (this.random.nextInt(40) == 0) {
				this.views.set(index, new ConfigurationView());
				this.highestRevisions[index] = 0;
				this.views.get(index).adopt(revision(this.storeRevision));
			}
		}

		private void receive(int receiver, Message message, int tick) {
			ConfigurationView view = this.views.get(receiver);
			if (message.value().number() > 0) {
				view.adopt(message.value());
			}
			if (message.senderRevision() < view.revision()) {
				this.network.send(message.sender(), new Message(receiver, view.revision(), view.current()), tick);
			}
		}

		private void ping(int tick) {
			int sender = this.random.nextInt(this.highestRevisions.length);
			for (int receiver = 0; receiver < this.highestRevisions.length; receiver++) {
				if (receiver != sender) {
					this.network.send(receiver, new Message(sender, this.views.get(sender).revision(), Revision.NONE),
							tick);
				}
			}
		}

		private static Revision revision(long number) {
			return new Revision(number, "change-" + number, "", Instant.EPOCH, "", RuleSet.empty());
		}

	}

}
