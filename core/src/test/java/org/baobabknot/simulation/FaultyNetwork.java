package org.baobabknot.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Delivers messages late, twice, out of order or never, on a simulated clock.
 *
 * @param <M> the type of the messages
 */
public final class FaultyNetwork<M> {

	private final RandomGenerator random;

	private final PriorityQueue<Delivery<M>> queue = new PriorityQueue<>(
			Comparator.<Delivery<M>>comparingLong(Delivery::at).thenComparingLong(Delivery::number));

	private final double loss;

	private final double duplication;

	private long maxDelay;

	private long sent;

	/**
	 * Creates a network.
	 * @param random source of the faults
	 * @param loss part of the messages that are lost
	 * @param duplication part of the messages that arrive twice
	 * @param maxDelay longest delay; delays are skewed towards short ones
	 */
	public FaultyNetwork(RandomGenerator random, double loss, double duplication, long maxDelay) {
		this.random = random;
		this.loss = loss;
		this.duplication = duplication;
		this.maxDelay = maxDelay;
	}

	/**
	 * Shortens the delays of later messages.
	 * @param delay longest delay
	 */
	public void limitDelay(long delay) {
		this.maxDelay = delay;
	}

	/**
	 * Sends a message.
	 * @param to the receiver
	 * @param message the message
	 * @param now the time
	 */
	public void send(int to, M message, long now) {
		int copies = (this.random.nextDouble() < this.loss) ? 0 : (this.random.nextDouble() < this.duplication) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			double skew = this.random.nextDouble();
			long delay = 1 + (long) (skew * skew * skew * this.maxDelay);
			this.queue.add(new Delivery<>(now + delay, this.sent++, to, message));
		}
	}

	/**
	 * Removes the messages that arrive up to a time.
	 * @param now the time
	 * @return the messages in order of arrival
	 */
	public List<Delivery<M>> takeDue(long now) {
		List<Delivery<M>> due = new ArrayList<>();
		while (!this.queue.isEmpty() && this.queue.peek().at() <= now) {
			due.add(this.queue.poll());
		}
		return due;
	}

	/**
	 * A message on its way.
	 *
	 * @param at time of arrival
	 * @param number order of sending
	 * @param to the receiver
	 * @param message the message
	 * @param <M> the type of the message
	 */
	public record Delivery<M>(long at, long number, int to, M message) {
	}

}
