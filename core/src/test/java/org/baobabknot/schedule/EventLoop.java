package org.baobabknot.schedule;

import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Runs events in the order of their time, which is random but depends on the seed only.
 */
public final class EventLoop {

	private static final RandomGeneratorFactory<RandomGenerator> RANDOM = RandomGeneratorFactory.of("L64X128MixRandom");

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final RandomGenerator random;

	private long now;

	private long sequence;

	public EventLoop(long seed) {
		this.random = RANDOM.create(seed);
	}

	public long now() {
		return this.now;
	}

	public RandomGenerator random() {
		return this.random;
	}

	public boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	/**
	 * Runs an action after a random delay.
	 * @param least shortest delay
	 * @param most longest delay
	 * @param action the action
	 */
	public void after(long least, long most, Runnable action) {
		long delay = (most > least) ? this.random.nextLong(least, most + 1) : least;
		this.events.add(new Event(this.now + delay, this.sequence++, action));
	}

	public void run(long until) {
		while (!this.events.isEmpty() && this.events.peek().time() <= until) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = Math.max(this.now, until);
	}

	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
