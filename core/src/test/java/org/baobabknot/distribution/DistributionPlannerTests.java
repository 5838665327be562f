package org.baobabknot.distribution;

import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.baobabknot.simulation.Schedules;
import org.baobabknot.weights.Manifest;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link DistributionPlanner}, {@link Pacer} and {@link UploadSlots}.
 */
class DistributionPlannerTests {

	private static final Manifest MANIFEST = Manifest.describe("s", "v1", new byte[] { 1, 2, 3, 4, 5, 6, 7, 8 }, 1);

	private static final DistributionSettings SETTINGS = new DistributionSettings(8, 6, 4, 2, 1, 0, 1_000, 10, 60_000,
			3, 0.2, 0.5);

	private static BitSet all() {
		BitSet all = new BitSet();
		all.set(0, MANIFEST.chunks());
		return all;
	}

	private static DistributionPlanner planner() {
		Peer self = new Peer("a", "d", "r");
		DistributionPlanner planner = new DistributionPlanner(MANIFEST, self, SETTINGS, Schedules.createRandom(1), 0);
		planner.agents(List.of(self, new Peer("b", "d", "r")), 0);
		return planner;
	}

	// Guards against a peer that sends corrupt chunks and is asked for ever.
	@Test
	void excludesASourceOfCorruptChunks() {
		DistributionPlanner planner = planner();
		planner.held("b", all(), 0);
		long now = 0;
		for (int corrupt = 0; corrupt < 3; corrupt++) {
			List<FetchCommand> commands = planner.plan(new BitSet(), now);
			assertThat(commands, everyItem(instanceOf(FetchCommand.FetchFromPeer.class)));
			commands.forEach((command) -> planner.failed(((FetchCommand.FetchFromPeer) command).index(),
					FetchFailure.CORRUPT, 0));
			now += 20;
		}
		assertThat(asksPeer(planner, now), is(false));
		assertThat(asksPeer(planner, 59_000), is(false));
		assertThat(asksPeer(planner, 61_000), is(true));
	}

	private static boolean asksPeer(DistributionPlanner planner, long now) {
		return planner.plan(new BitSet(), now)
			.stream()
			.anyMatch((command) -> command instanceof FetchCommand.FetchFromPeer);
	}

	// Guards against more transfers at once than allowed, and two for one chunk.
	@Test
	void boundsTransfersPerSource() {
		DistributionPlanner planner = planner();
		planner.held("b", all(), 0);
		assertThat(planner.plan(new BitSet(), 0).size(), is(1));
		assertThat(planner.plan(new BitSet(), 0).get(0), instanceOf(FetchCommand.Wait.class));
	}

	// Guards against bulk bytes that slow live requests down or stop for ever.
	@Test
	void pacerYieldsToLiveTraffic() {
		Pacer pacer = new Pacer(1_000_000, 0.5, 1_000, 0);
		assertThat(pacer.bytesPerSecond(0), closeTo(500_000, 1));
		pacer.live(400_000, 0);
		assertThat(pacer.bytesPerSecond(0), lessThan(200_000.0));
		pacer.live(10_000_000, 0);
		assertThat(pacer.bytesPerSecond(0), closeTo(50_000, 1));
		assertThat(pacer.bytesPerSecond(TimeUnit.SECONDS.toNanos(10)), closeTo(500_000, 1));
	}

	// Guards against a pacer whose rate differs from its setting.
	@Test
	void pacerKeepsItsRate() {
		Pacer pacer = new Pacer(1_000_000, 1, 1_000, 0);
		long now = 0;
		long sent = 0;
		while (now < TimeUnit.SECONDS.toNanos(2)) {
			long wait = pacer.tryTake(1_000, now);
			sent += (wait == 0) ? 1_000 : 0;
			now += wait;
		}
		assertThat((double) sent, closeTo(1_800_000, 200_000));
	}

	// Guards against gateways of other domains that wait behind the own domain.
	@Test
	void slotsOfOtherDomainsAreSeparate() {
		UploadSlots slots = new UploadSlots(1);
		assertThat(slots.tryAcquire(false), is(true));
		assertThat(slots.tryAcquire(false), is(false));
		assertThat(slots.tryAcquire(true), is(true));
		slots.release(false);
		assertThat(slots.tryAcquire(false), is(true));
		assertThat(UploadSlots.STANDARD, greaterThan(1));
	}

}
