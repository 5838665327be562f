package org.baobabknot.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link FleetConfiguration}, {@link Route}, {@link FleetView},
 * {@link Freshness} and {@link EngineSpeed}.
 */
class FleetTests {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private static Route route(String name, String prefix, RequestKind kind) {
		return new Route(name, "h.example", prefix, kind, 1_000, 100, 0, 1,
				List.of(new ServiceShare("a", 90), new ServiceShare("b", 10)), 2, false, true, Set.of());
	}

	private static FleetConfiguration configuration(long version, Route... routes) {
		return new FleetConfiguration(version, List.of(routes), Map.of(), List.of(),
				Map.of("k1", new Workspace("w", 0, Set.of())), true, CallerLimits.DEFAULT);
	}

	private static TargetRecord target(String id, long coldMs) {
		return new TargetRecord(id, "a", "127.0.0.1", 1, "d", 4, false, coldMs, 0, List.of());
	}

	@Nested
	class Routes {

		@Test
		void theLongestPrefixWins() {
			FleetConfiguration configuration = configuration(1, route("short", "/x/", RequestKind.ONCE),
					route("long", "/x/y/", RequestKind.ONCE));
			assertThat(configuration.route("h.example:80", "/x/y/z?q=/x/").orElseThrow().name(), is("long"));
			assertThat(configuration.route("h.example", "/x/z").orElseThrow().name(), is("short"));
		}

		@Test
		void aPrefixWithoutItsSlashAndAnotherHostMatchNothing() {
			FleetConfiguration configuration = configuration(1, route("r", "/x/", RequestKind.ONCE));
			assertThat(configuration.route("h.example", "/x").isPresent(), is(false));
			assertThat(configuration.route("other.example", "/x/").isPresent(), is(false));
			assertThat(configuration.route("h.example", "/q?/x/").isPresent(), is(false));
		}

		@Test
		void callersOfStreamsLeaveBeforeTheTimeout() {
			assertThat(route("r", "/x/", RequestKind.ONCE).callerTimeoutMs(), is(1_000L));
			assertThat(route("r", "/x/", RequestKind.STREAM).callerTimeoutMs(), is(2_000L));
		}

		@Test
		void servicesAreChosenByWeight() {
			Route route = route("r", "/x/", RequestKind.ONCE);
			assertThat(route.service(0.0), is("a"));
			assertThat(route.service(0.89), is("a"));
			assertThat(route.service(0.91), is("b"));
		}

		@Test
		void onlyHarmlessRepetitionsAreAllowed() {
			assertThat(RequestKind.IDEMPOTENT.repeatable(false), is(true));
			assertThat(RequestKind.ONCE.repeatable(true), is(false));
			assertThat(RequestKind.STREAM.repeatable(true), is(true));
			assertThat(RequestKind.STREAM.repeatable(false), is(false));
		}

	}

	@Nested
	class Views {

		private final FleetView view = new FleetView(Map.of("d", "r"));

		@Test
		void anOlderConfigurationIsNeverAdopted() {
			assertThat(this.view.tryAdopt(configuration(7)), is(true));
			assertThat(this.view.tryAdopt(configuration(6)), is(false));
			assertThat(this.view.tryAdopt(configuration(7)), is(false));
			assertThat(this.view.configuration().orElseThrow().version(), is(7L));
		}

		@Test
		void aTargetIsColdForTheTimeItStated() {
			TargetRecord target = target("t", 500);
			this.view.putTarget(target, 0);
			assertThat(this.view.coldLeftMs(target, 100 * MS), is(400L));
			assertThat(this.view.coldLeftMs(target, 600 * MS), is(0L));
		}

		@Test
		void targetsOfAServiceMatchTheList() {
			this.view.putTarget(target("t", 0), 0);
			assertThat(this.view.targets("a").size(), is(1));
			this.view.removeTarget("t");
			assertThat(this.view.targets("a").size(), is(0));
		}

		@Test
		void eachVersionIsRequiredAfterItsOwnGracePeriod() {
			this.view.wanted("m", 2, 0);
			this.view.wanted("m", 3, 4_000 * MS);
			assertThat(this.view.wantedVersion("m"), is(3L));
			assertThat(this.view.requiredVersion("m", 7_000 * MS, 8_000 * MS), is(0L));
			assertThat(this.view.requiredVersion("m", 9_000 * MS, 8_000 * MS), is(2L));
			assertThat(this.view.requiredVersion("m", 12_000 * MS, 8_000 * MS), is(3L));
			assertThat(this.view.wantedSince("m", 1).orElseThrow(), is(0L));
			assertThat(this.view.wantedSince("m", 2).orElseThrow(), is(4_000 * MS));
		}

	}

	@Nested
	class FreshnessTests {

		private final Freshness freshness = new Freshness();

		@Test
		void nothingIsFreshBeforeTheFirstConfirmation() {
			assertThat(this.freshness.ageMs(0, 0), is(Long.MAX_VALUE));
		}

		@Test
		void ageGrowsWithTheMonotonicClock() {
			this.freshness.confirm(0, 0, 1_000);
			assertThat(this.freshness.ageMs(300 * MS, 1_300), is(300L));
		}

		@Test
		void aSuspensionThatTheMonotonicClockDoesNotSeeCounts() {
			this.freshness.confirm(0, 0, 1_000);
			assertThat(this.freshness.ageMs(100 * MS, 6_100), is(5_100L));
			assertThat(this.freshness.hasJumped(100 * MS, 6_100), is(true));
		}

		@Test
		void aWallClockThatIsSetBackDoesNotMakeItYounger() {
			this.freshness.confirm(0, 0, 10_000);
			assertThat(this.freshness.ageMs(400 * MS, 5_000), is(400L));
			assertThat(this.freshness.hasJumped(400 * MS, 5_000), is(false));
		}

		@Test
		void anOlderConfirmationDoesNotReplaceANewerOne() {
			this.freshness.confirm(500 * MS, 500 * MS, 500);
			this.freshness.confirm(100 * MS, 600 * MS, 600);
			assertThat(this.freshness.ageMs(700 * MS, 700), is(200L));
		}

		@Test
		void anOlderConfirmationDoesNotHideASuspension() {
			this.freshness.confirm(500 * MS, 500 * MS, 500);
			this.freshness.confirm(100 * MS, 600 * MS, 6_600);
			assertThat(this.freshness.ageMs(700 * MS, 6_700), is(6_200L));
		}

		@Test
		void aSuspensionWhileAConfirmationIsOnItsWayCounts() {
			this.freshness.confirm(0, 0, 1_000);
			this.freshness.confirm(200 * MS, 300 * MS, 1_300);
			assertThat(this.freshness.ageMs(310 * MS, 6_310), is(5_110L));
		}

	}

	@Nested
	class EngineSpeeds {

		@Test
		void aLongerResponseOccupiesASlotLonger() {
			EngineSpeed speed = new EngineSpeed(7.4, 0.04, 0.02, 31.9, 6, 900, 100);
			assertThat(speed.occupancyMs(16, 900, 50), lessThan(speed.occupancyMs(16, 900, 200)));
			assertThat(speed.occupancyMs(16, -1, -1), is(speed.occupancyMs(16, 900, 100)));
		}

	}

}
