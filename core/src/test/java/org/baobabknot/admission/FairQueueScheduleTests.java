package org.baobabknot.admission;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Runs a {@link FairQueue} under seeded schedules in which several workspaces offer many
 * requests while a small workspace has one request at a time.
 */
class FairQueueScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int CAPACITY = 64;

	private static final int STEPS = 300;

	private static final String SMALL_WORKSPACE = "small";

	// Guards against requests of a small workspace that are queued without bound or
	// refused while other workspaces fill the queue.
	@Test
	void smallWorkspacesAreNeverStarved() {
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Simulation simulation = new Simulation(seed, true);
			simulation.run();
			assertThat("refused or displaced, seed " + seed, simulation.smallRefused, is(0));
			assertThat("polls until the small workspace is served, seed " + seed, simulation.longestPollsWaited,
					lessThanOrEqualTo(simulation.maxPollsWaited()));
			assertThat("size, seed " + seed, simulation.queue.size(), lessThanOrEqualTo(CAPACITY));
		}
	}

	// Guards against schedules that cannot detect starvation: a queue that treats all
	// workspaces as one must fail in them.
	@Test
	void schedulesDetectAQueueWithoutFairness() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES / 10; seed++) {
			Simulation simulation = new Simulation(seed, false);
			simulation.run();
			violations += (simulation.smallRefused > 0 || simulation.longestPollsWaited > simulation.maxPollsWaited())
					? 1 : 0;
		}
		assertThat(violations, greaterThan(SCHEDULES / 20));
	}

	private static final class Simulation {

		private final RandomGenerator random;

		private final FairQueue<Integer> queue = new FairQueue<>(new QueueSettings(CAPACITY, CAPACITY));

		private final boolean fair;

		private final int workspaces;

		private final QueuePriority smallPriority;

		private int nextItem;

		private int smallItem = -1;

		private int pollsWaited;

		private int longestPollsWaited;

		private int smallRefused;

		private Simulation(long seed, boolean fair) {
			this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			this.fair = fair;
			this.workspaces = this.random.nextInt(1, 7);
			this.smallPriority = QueuePriority.values()[this.random.nextInt(3)];
		}

		// Returns the number of polls after which the priority of the small workspace has
		// served every workspace once. A workspace of weight 4 takes up to four polls in
		// its round.
		private int maxPollsWaited() {
			int totalShare = 0;
			for (QueuePriority other : QueuePriority.values()) {
				totalShare += other.share();
			}
			int pollsPerTurn = (totalShare + this.smallPriority.share() - 1) / this.smallPriority.share();
			return pollsPerTurn * (4 * this.workspaces + 2);
		}

		private void run() {
			for (int step = 0; step < STEPS; step++) {
				offerLarge();
				if (this.smallItem < 0 && this.random.nextInt(3) == 0) {
					offerSmall();
				}
				poll();
			}
		}

		private void offerLarge() {
			for (int i = this.random.nextInt(4); i > 0; i--) {
				int workspace = this.random.nextInt(this.workspaces);
				QueuePriority priority = QueuePriority.values()[this.random.nextInt(3)];
				offer("large-" + workspace, priority, workspace % 4 + 1);
			}
		}

		private OfferResult<Integer> offer(String workspace, QueuePriority priority, double weight) {
			String queuedAs = this.fair ? workspace : "all";
			OfferResult<Integer> offer = this.queue
				.offer(new QueuedRequest<>(queuedAs, priority, weight, Long.MAX_VALUE, this.nextItem++));
			if (offer instanceof OfferResult.Queued<Integer> queued && queued.displaced().isPresent()
					&& queued.displaced().get().item() == this.smallItem) {
				this.smallRefused++;
				this.smallItem = -1;
			}
			return offer;
		}

		private void offerSmall() {
			int item = this.nextItem;
			if (offer(SMALL_WORKSPACE, this.smallPriority, 1) instanceof OfferResult.Queued) {
				this.smallItem = item;
				this.pollsWaited = 0;
			}
			else {
				this.smallRefused++;
			}
		}

		private void poll() {
			this.queue.poll(0).next().ifPresent((served) -> {
				this.pollsWaited++;
				if (served.item() == this.smallItem) {
					this.longestPollsWaited = Math.max(this.longestPollsWaited, this.pollsWaited);
					this.smallItem = -1;
				}
			});
			if (this.smallItem >= 0) {
				this.longestPollsWaited = Math.max(this.longestPollsWaited, this.pollsWaited);
			}
		}

	}

}
