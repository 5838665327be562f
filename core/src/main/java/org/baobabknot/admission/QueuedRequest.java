package org.baobabknot.admission;

/**
 * A request in a {@link FairQueue}. The queue finds a request by the identity of its
 * item.
 *
 * @param workspace workspace that the request belongs to
 * @param priority priority of the request
 * @param weight share of the workspace relative to others, above 0
 * @param deadlineNanos monotonic time after which the request must not start
 * @param item the request itself
 * @param <T> type of the item
 */
public record QueuedRequest<T>(String workspace, QueuePriority priority, double weight, long deadlineNanos, T item) {

	/**
	 * Checks the weight.
	 */
	public QueuedRequest {
		if (!(weight > 0)) {
			throw new IllegalArgumentException("expected a weight above 0, got " + weight);
		}
	}

	boolean isExpired(long nowNanos) {
		return nowNanos - this.deadlineNanos >= 0;
	}

}
