package org.baobabknot.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Simulates a network that delays, duplicates, reorders and loses messages. Times are in
 * the unit of the simulated clock.
 *
 * @param <M> the type of the messages
 */
public final class FaultyNetwork<M> {

	private final RandomGenerator random;

	private final PriorityQueue<Delivery<M>> queue = new PriorityQueue<>(
			Comparator.<Delivery<M>>comparingLong(Delivery::arrivalTime).thenComparingLong(Delivery::number));

	private final double lossRatio;

	private final double duplicationRatio;

	private long maxDelay;

	private long nextNumber;

	/**
	 * Creates a network.
	 * @param random source of the faults
	 * @param lossRatio ratio of the messages that are lost
	 * @param duplicationRatio ratio of the messages that arrive twice
	 * @param maxDelay maximum delay; short delays are more frequent than long ones
	 */
	public FaultyNetwork(RandomGenerator random, double lossRatio, double duplicationRatio, long maxDelay) {
		this.random = random;
		this.lossRatio = lossRatio;
		this.duplicationRatio = duplicationRatio;
		this.maxDelay = maxDelay;
	}

	/**
	 * Changes the maximum delay of messages that are sent from now on.
	 * @param newMaxDelay maximum delay
	 */
	public void setMaxDelay(long newMaxDelay) {
		this.maxDelay = newMaxDelay;
	}

	/**
	 * Sends a message.
	 * @param receiver the receiver
	 * @param message the message
	 * @param now the time
	 */
	public void send(int receiver, M message, long now) {
		int copies = (this.random.nextDouble() < this.lossRatio) ? 0
				: (this.random.nextDouble() < this.duplicationRatio) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			double skew = this.random.nextDouble();
			long delay = 1 + (long) (skew * skew * skew * this.maxDelay);
			this.queue.add(new Delivery<>(now + delay, this.nextNumber++, receiver, message));
		}
	}

	/**
	 * Removes the messages that have arrived up to a time.
	 * @param now the time
	 * @return the messages in order of arrival
	 */
	public List<Delivery<M>> removeArrived(long now) {
		List<Delivery<M>> arrived = new ArrayList<>();
		while (!this.queue.isEmpty() && this.queue.peek().arrivalTime() <= now) {
			arrived.add(this.queue.poll());
		}
		return arrived;
	}

	/**
	 * A message in flight.
	 *
	 * @param arrivalTime time of arrival
	 * @param number number of the message in the order of sending
	 * @param receiver the receiver
	 * @param message the message
	 * @param <M> the type of the message
	 */
	public record Delivery<M>(long arrivalTime, long number, int receiver, M message) {
	}

}
