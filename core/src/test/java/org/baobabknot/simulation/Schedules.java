package org.baobabknot.simulation;

import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.LongStream;

/**
 * Runs seeded schedules in parallel and reports the seeds of the first three that fail.
 */
public final class Schedules {

	/** Number of schedules for each tested class. */
	public static final int SCHEDULE_COUNT = 10_000;

	private Schedules() {
	}

	/**
	 * Creates a random generator.
	 * @param seed the seed
	 * @return the generator
	 */
	public static RandomGenerator createRandom(long seed) {
		return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
	}

	/**
	 * Runs all schedules.
	 * @param schedule runs the schedule of a seed and returns a description of the fault,
	 * or an empty string
	 */
	public static void runAll(LongFunction<String> schedule) {
		String faults = LongStream.range(0, SCHEDULE_COUNT).parallel().mapToObj((seed) -> {
			String fault = schedule.apply(seed);
			return fault.isEmpty() ? "" : "seed " + seed + ": " + fault;
		}).filter((fault) -> !fault.isEmpty()).limit(3).reduce("", (left, right) -> left + "\n" + right);
		if (!faults.isEmpty()) {
			throw new AssertionError(faults);
		}
	}

}
