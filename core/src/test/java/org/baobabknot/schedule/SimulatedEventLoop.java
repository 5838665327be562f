package org.baobabknot.schedule;

import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Runs actions in the order of their simulated time. Delays are random and determined by
 * the seed.
 */
public final class SimulatedEventLoop {

	private static final RandomGeneratorFactory<RandomGenerator> GENERATORS = RandomGeneratorFactory
		.of("L64X128MixRandom");

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final RandomGenerator random;

	private long now;

	private long sequence;

	public SimulatedEventLoop(long seed) {
		this.random = GENERATORS.create(seed);
	}

	public long now() {
		return this.now;
	}

	public RandomGenerator random() {
		return this.random;
	}

	public boolean randomBoolean(double probability) {
		return this.random.nextDouble() < probability;
	}

	/**
	 * Schedules an action after a random delay, in the time unit of the simulation.
	 * @param minDelay shortest delay
	 * @param maxDelay longest delay
	 * @param action the action
	 */
	public void schedule(long minDelay, long maxDelay, Runnable action) {
		long delay = (maxDelay > minDelay) ? this.random.nextLong(minDelay, maxDelay + 1) : minDelay;
		this.events.add(new Event(this.now + delay, this.sequence++, action));
	}

	public void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().time() <= end) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = Math.max(this.now, end);
	}

	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
