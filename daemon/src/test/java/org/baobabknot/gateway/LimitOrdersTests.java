package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.baobabknot.limit.LimitStatement;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the limits of several gateways in many orders of events.
 */
class LimitOrdersTests {

	/** Orders for each disturbance; the long run is started by hand. */
	private static final int ORDERS = Integer.getInteger("baobabknot.orders", 40);

	private static final int GATEWAYS = 6;

	private static final long END_MS = 14_000;

	/** Time in which leases expire and all gateways read the list twice. */
	private static final long LONG_END_MS = 36_000;

	/** What happens while targets state limits. */
	enum Disturbance {

		NONE(0, 3) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
			}
		},

		MESSAGES_LOST(0.05, 30) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
			}
		},

		FREEZES(0.01, 10) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				orders.freeze(1_000 + random.nextInt(9_000), 100 + random.nextInt(3_000));
				orders.freeze(1_000 + random.nextInt(9_000), 100 + random.nextInt(3_000));
			}
		},

		RESTARTS(0.01, 10) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				for (int count = 0; count < 3; count++) {
					orders.restart(1_000 + random.nextInt(9_000));
				}
			}
		},

		STOPS(0.01, 10) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				for (int count = 0; count < 3; count++) {
					orders.stop(1_000 + random.nextInt(9_000), 500 + random.nextInt(3_000));
				}
			}
		},

		CUTS_FROM_THE_STORE(0.01, 10) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				for (int count = 0; count < 3; count++) {
					orders.cutFromStore(random.nextInt(3_000), 25_000 + random.nextInt(10_000));
				}
			}

			@Override
			long endMs() {
				return LONG_END_MS;
			}
		},

		JOINS(0.01, 10) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				for (int count = 0; count < 3; count++) {
					orders.joinUnheard(1_000 + random.nextInt(9_000), 25_000);
				}
			}

			@Override
			long endMs() {
				return LONG_END_MS;
			}
		},

		/**
		 * Guards against two sole issuers after the gateways of a region have left and
		 * others have joined.
		 */
		REGION_REPLACED(0.01, 10) {
			@Override
			int remoteGateways(SplittableRandom random) {
				return GATEWAYS - 1 - random.nextInt(2);
			}

			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				for (int index = GATEWAYS - 1; index >= GATEWAYS - 2; index--) {
					long leaveMs = 8_000 + random.nextInt(6_000);
					orders.replace(index, leaveMs, random.nextBoolean(), leaveMs + random.nextInt(22_000));
				}
			}

			@Override
			long endMs() {
				return LONG_END_MS;
			}
		},

		ALL(0.05, 30) {
			@Override
			void apply(LimitOrders orders, SplittableRandom random) {
				List.of(FREEZES, RESTARTS, STOPS, CUTS_FROM_THE_STORE).forEach((each) -> each.apply(orders, random));
			}
		};

		private final LimitOrders.Faults faults;

		Disturbance(double lossRatio, int maxDelayMs) {
			this.faults = new LimitOrders.Faults(lossRatio, maxDelayMs);
		}

		long endMs() {
			return END_MS;
		}

		/**
		 * Returns how many gateways are of another region than the targets.
		 * @param random source of the choice
		 * @return the number, {@link #GATEWAYS} if there is one region only
		 */
		int remoteGateways(SplittableRandom random) {
			return GATEWAYS;
		}

		abstract void apply(LimitOrders orders, SplittableRandom random);

	}

	private static String play(long seed, Disturbance disturbance) {
		SplittableRandom random = new SplittableRandom(seed);
		LimitOrders orders = new LimitOrders(seed, GATEWAYS, disturbance.remoteGateways(random), disturbance.faults);
		double[] rates = { 0.3, 1.7, 4, 20 };
		List<LimitOrders.Target> targets = List.of(orders.addTarget(rates[random.nextInt(rates.length)]),
				orders.addTarget(rates[random.nextInt(rates.length)]), orders.addTarget(LimitStatement.UNLIMITED));
		orders.send(0, disturbance.endMs(), 20 + random.nextInt(200), 1 + random.nextInt(GATEWAYS));
		disturbance.apply(orders, random);
		orders.run(disturbance.endMs());
		List<String> exceeded = new ArrayList<>();
		targets.subList(0, 2)
			.stream()
			.filter(LimitOrders.Target::isExceeded)
			.forEach((target) -> exceeded.add(target.mostInWindow() + " in 4 s"));
		return (exceeded.isEmpty()) ? "" : "seed " + seed + ": " + exceeded;
	}

	@ParameterizedTest
	@EnumSource(Disturbance.class)
	void noTargetGetsMoreThanItsLimit(Disturbance disturbance) {
		List<String> failures = new ArrayList<>();
		for (int seed = 1; seed <= ORDERS; seed++) {
			String failure = play(seed, disturbance);
			if (!failure.isEmpty()) {
				failures.add(failure);
			}
		}
		assertThat(failures, is(empty()));
	}

	@Nested
	class Use {

		@ParameterizedTest
		@CsvSource({ "18, 18, 2", "18, 2, 2", "124, 124, 2", "124, 12, 2", "18, 18, 20", "124, 12, 0.5" })
		void mostOfALimitIsUsed(int gateways, int gatewaysWithCallers, double rate) {
			LimitOrders orders = new LimitOrders(1, gateways, new LimitOrders.Faults(0, 5));
			LimitOrders.Target limited = orders.addTarget(rate);
			orders.addTarget(LimitStatement.UNLIMITED);
			orders.send(0, END_MS, 300, gatewaysWithCallers);
			orders.run(END_MS);
			double used = limited.received(4_000) / (rate * (END_MS - 4_000) / 1_000);
			assertThat(used, greaterThan(0.7));
			assertThat(limited.isExceeded(), is(false));
		}

		// Gateways of both regions are taken away, one every 1.3 s, and others join 1.5 s
		// later.
		@ParameterizedTest
		@CsvSource({ "true, 2", "true, 20", "false, 2", "false, 20" })
		void mostOfALimitIsUsedWhileGatewaysAreReplaced(boolean notice, double rate) {
			int seeds = Math.max(1, ORDERS / 5);
			double used = 0;
			for (int seed = 1; seed <= seeds; seed++) {
				LimitOrders orders = new LimitOrders(seed, 18, 12, new LimitOrders.Faults(0.01, 5));
				LimitOrders.Target limited = orders.addTarget(rate);
				orders.addTarget(LimitStatement.UNLIMITED);
				orders.send(0, LONG_END_MS, 300, 6);
				for (int number = 0; number < 6; number++) {
					long leaveMs = 4_000 + number * 1_300L;
					orders.replace((number % 2 == 0) ? 12 + number : 6 + number, leaveMs, notice, leaveMs + 1_500);
				}
				orders.run(LONG_END_MS);
				assertThat("seed " + seed, limited.isExceeded(), is(false));
				used += limited.received(4_000) / (rate * (LONG_END_MS - 4_000) / 1_000) / seeds;
			}
			assertThat(used, greaterThan(0.7));
		}

		@ParameterizedTest
		@CsvSource({ "0, 12000", "0.5, 9000", "1.7, 9000", "20, 9000" })
		void aLiftIsKnownEverywhereSoon(double rate, long fromMs) {
			LimitOrders orders = new LimitOrders(1, 12, new LimitOrders.Faults(0.01, 5));
			LimitOrders.Target limited = orders.addTarget(rate);
			LimitOrders.Target other = orders.addTarget(LimitStatement.UNLIMITED);
			orders.send(0, END_MS, 1_500, 12);
			orders.lift(limited, 6_000);
			orders.run(END_MS);
			assertThat((double) limited.received(fromMs) / other.received(fromMs), greaterThan(0.9));
		}

		/**
		 * Guards against gateways that keep a limit for seconds after others know that it
		 * was lifted, because a message was lost.
		 */
		@ParameterizedTest
		@CsvSource({ "0.5", "2" })
		void aLiftThatOneGatewayKnowsIsSoonKnownToAll(double rate) {
			List<String> failures = new ArrayList<>();
			for (int seed = 1; seed <= ORDERS; seed++) {
				LimitOrders orders = new LimitOrders(seed, GATEWAYS, new LimitOrders.Faults(0.05, 30));
				LimitOrders.Target limited = orders.addTarget(rate);
				for (int number = 0; number < 3; number++) {
					orders.addTarget(LimitStatement.UNLIMITED);
				}
				orders.send(0, 10_000, 400, GATEWAYS);
				orders.lift(limited, 3_000);
				orders.run(3_000);
				orders.runUntil(() -> orders.gatewaysThatKnowALimit(limited) < GATEWAYS, 10_000);
				orders.runFor(1_500);
				long remaining = orders.gatewaysThatKnowALimit(limited);
				if (remaining > 0) {
					failures.add("seed " + seed + ": " + remaining);
				}
			}
			assertThat(failures, is(empty()));
		}

		@Test
		void gatewaysKnowTheLimitOfATargetBeforeTheyUseIt() {
			LimitOrders orders = new LimitOrders(1, 18, new LimitOrders.Faults(0, 5));
			LimitOrders.Target limited = orders.addTarget(2);
			orders.addTarget(LimitStatement.UNLIMITED);
			orders.send(0, 4_000, 300, 2);
			orders.send(4_000, END_MS, 300, 18);
			orders.run(END_MS);
			assertThat(limited.received(4_000), lessThanOrEqualTo(24L));
		}

		@Test
		void messagesGrowWithThePermitsNotWithTheGateways() {
			long few = messagesOf(18);
			long many = messagesOf(124);
			assertThat(few + " " + many, many < 2 * few, is(true));
		}

		private static long messagesOf(int gateways) {
			LimitOrders orders = new LimitOrders(1, gateways, new LimitOrders.Faults(0, 5));
			orders.addTarget(4);
			orders.addTarget(LimitStatement.UNLIMITED);
			orders.send(3_000, END_MS, 300, gateways);
			orders.run(6_000);
			long before = orders.messages();
			orders.run(END_MS);
			return orders.messages() - before;
		}

	}

}
