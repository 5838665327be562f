package org.baobabknot.admission;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Seeded schedules of several workspaces that flood a {@link FairQueue} while a small one
 * has one request at a time.
 */
class FairQueueScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int CAPACITY = 64;

	private static final int STEPS = 300;

	private static final String SMALL = "small";

	// Guards against a small workspace that waits without bound or is refused while
	// others flood the queue.
	@Test
	void smallWorkspacesAreNeverStarved() {
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Run run = new Run(seed, true);
			run.play();
			assertThat("refused or displaced, seed " + seed, run.smallRefused, is(0));
			assertThat("polls waited, seed " + seed, run.longestWait, lessThanOrEqualTo(run.bound()));
			assertThat("size, seed " + seed, run.queue.size(), lessThanOrEqualTo(CAPACITY));
		}
	}

	// Guards against schedules that cannot detect starvation: with all workspaces in one
	// line they must.
	@Test
	void schedulesDetectAQueueWithoutFairness() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES / 10; seed++) {
			Run run = new Run(seed, false);
			run.play();
			violations += (run.smallRefused > 0 || run.longestWait > run.bound()) ? 1 : 0;
		}
		assertThat(violations, greaterThan(SCHEDULES / 20));
	}

	private static final class Run {

		private final RandomGenerator random;

		private final FairQueue<Integer> queue = new FairQueue<>(new QueueSettings(CAPACITY, CAPACITY));

		private final boolean fair;

		private final int workspaces;

		private final Priority priority;

		private int next;

		private int smallItem = -1;

		private int waited;

		private int longestWait;

		private int smallRefused;

		private Run(long seed, boolean fair) {
			this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			this.fair = fair;
			this.workspaces = this.random.nextInt(1, 7);
			this.priority = Priority.values()[this.random.nextInt(3)];
		}

		// Polls until the lane of the small workspace had one turn for each workspace; a
		// workspace of weight 4 takes up to four polls in its turn.
		private int bound() {
			int total = 0;
			for (Priority each : Priority.values()) {
				total += each.share();
			}
			int pollsPerTurn = (total + this.priority.share() - 1) / this.priority.share();
			return pollsPerTurn * (4 * this.workspaces + 2);
		}

		private void play() {
			for (int step = 0; step < STEPS; step++) {
				flood();
				if (this.smallItem < 0 && this.random.nextInt(3) == 0) {
					offerSmall();
				}
				poll();
			}
		}

		private void flood() {
			for (int i = this.random.nextInt(4); i > 0; i--) {
				int workspace = this.random.nextInt(this.workspaces);
				Priority any = Priority.values()[this.random.nextInt(3)];
				offer("large-" + workspace, any, workspace % 4 + 1);
			}
		}

		private Offer<Integer> offer(String workspace, Priority offered, double weight) {
			String line = this.fair ? workspace : "all";
			Offer<Integer> offer = this.queue.offer(new Waiting<>(line, offered, weight, Long.MAX_VALUE, this.next++));
			if (offer instanceof Offer.Queued<Integer> queued && queued.displaced().isPresent()
					&& queued.displaced().get().item() == this.smallItem) {
				this.smallRefused++;
				this.smallItem = -1;
			}
			return offer;
		}

		private void offerSmall() {
			int item = this.next;
			if (offer(SMALL, this.priority, 1) instanceof Offer.Queued) {
				this.smallItem = item;
				this.waited = 0;
			}
			else {
				this.smallRefused++;
			}
		}

		private void poll() {
			this.queue.poll(0).next().ifPresent((served) -> {
				this.waited++;
				if (served.item() == this.smallItem) {
					this.longestWait = Math.max(this.longestWait, this.waited);
					this.smallItem = -1;
				}
			});
			if (this.smallItem >= 0) {
				this.longestWait = Math.max(this.longestWait, this.waited);
			}
		}

	}

}
