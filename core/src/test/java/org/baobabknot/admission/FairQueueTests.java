package org.baobabknot.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link FairQueue}.
 */
class FairQueueTests {

	private final FairQueue<Integer> queue = new FairQueue<>(new QueueSettings(10, 8));

	private static QueuedRequest<Integer> request(String workspace, QueuePriority priority, int item) {
		return new QueuedRequest<>(workspace, priority, 1, 1000, item);
	}

	private List<String> pollAll(long now) {
		List<String> order = new ArrayList<>();
		while (true) {
			PollResult<Integer> poll = this.queue.poll(now);
			if (poll.next().isEmpty()) {
				return order;
			}
			order.add(poll.next().get().workspace());
		}
	}

	@Nested
	class Workspaces {

		// Guards against one busy workspace being served before all others.
		@Test
		void takeTurns() {
			for (int i = 0; i < 4; i++) {
				FairQueueTests.this.queue.offer(request("large", QueuePriority.NORMAL, i));
			}
			FairQueueTests.this.queue.offer(request("small", QueuePriority.NORMAL, 9));
			assertThat(pollAll(0), contains("large", "small", "large", "large", "large"));
		}

		// Guards against a full queue that refuses a workspace with few requests.
		@Test
		void displaceTheLongest() {
			for (int i = 0; i < 8; i++) {
				FairQueueTests.this.queue.offer(request("large", QueuePriority.NORMAL, i));
			}
			for (int i = 0; i < 2; i++) {
				FairQueueTests.this.queue.offer(request("other", QueuePriority.NORMAL, i));
			}
			OfferResult<Integer> offer = FairQueueTests.this.queue.offer(request("small", QueuePriority.NORMAL, 9));
			OfferResult.Queued<Integer> queued = (OfferResult.Queued<Integer>) offer;
			assertThat(queued.displaced().orElseThrow().workspace(), is("large"));
			assertThat(FairQueueTests.this.queue.size(), is(10));
		}

		// Guards against one workspace that fills the whole queue.
		@Test
		void areBounded() {
			OfferResult<Integer> last = null;
			for (int i = 0; i < 9; i++) {
				last = FairQueueTests.this.queue.offer(request("large", QueuePriority.NORMAL, i));
			}
			assertThat(last, is(new OfferResult.Refused<Integer>(OfferResult.Reason.WORKSPACE_OVER_SHARE)));
		}

		// Guards against weights that have no effect.
		@Test
		void areServedByWeight() {
			FairQueue<Integer> weighted = new FairQueue<>(new QueueSettings(100, 100));
			for (int i = 0; i < 40; i++) {
				weighted.offer(new QueuedRequest<>("half", QueuePriority.NORMAL, 1, 1000, i));
				weighted.offer(new QueuedRequest<>("double", QueuePriority.NORMAL, 3, 1000, i));
			}
			int served = 0;
			for (int i = 0; i < 40; i++) {
				if (weighted.poll(0).next().orElseThrow().workspace().equals("double")) {
					served++;
				}
			}
			assertThat(served, is(30));
		}

	}

	@Nested
	class Priorities {

		// Guards against requests of high priority that are delayed by the other
		// priorities.
		@Test
		void serveTheHighestMostOften() {
			FairQueue<Integer> large = new FairQueue<>(new QueueSettings(1000, 1000));
			for (int i = 0; i < 100; i++) {
				for (QueuePriority priority : QueuePriority.values()) {
					large.offer(request("one", priority, i));
				}
			}
			int[] served = new int[QueuePriority.values().length];
			for (int i = 0; i < 64; i++) {
				served[large.poll(0).next().orElseThrow().priority().ordinal()]++;
			}
			assertThat(served[QueuePriority.HIGH.ordinal()], is(48));
			assertThat(served[QueuePriority.LOW.ordinal()], greaterThan(0));
		}

		// Guards against a queue full of requests of low priority that refuses one of
		// high priority.
		@Test
		void displaceTheLowerOfTheSameWorkspace() {
			FairQueue<Integer> full = new FairQueue<>(new QueueSettings(2, 8));
			full.offer(request("one", QueuePriority.LOW, 1));
			full.offer(request("one", QueuePriority.LOW, 2));
			assertThat(full.offer(request("one", QueuePriority.HIGH, 3)), instanceOf(OfferResult.Queued.class));
			assertThat(full.offer(request("one", QueuePriority.LOW, 4)), instanceOf(OfferResult.Refused.class));
			assertThat(full.size(), lessThanOrEqualTo(2));
		}

	}

	@Nested
	class Deadlines {

		// Guards against starting requests whose deadline has passed.
		@Test
		void dropExpiredRequests() {
			FairQueueTests.this.queue.offer(request("one", QueuePriority.NORMAL, 1));
			FairQueueTests.this.queue.offer(new QueuedRequest<>("one", QueuePriority.NORMAL, 1, 5000, 2));
			PollResult<Integer> poll = FairQueueTests.this.queue.poll(2000);
			assertThat(poll.next().orElseThrow().item(), is(2));
			assertThat(poll.expired().size(), is(1));
			assertThat(FairQueueTests.this.queue.size(), is(0));
		}

	}

}
