package org.baobabknot.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Bounded queue of requests that is fair between workspaces. Polls are divided between
 * the priorities by their shares, and within a priority between the workspaces by
 * weighted deficit round robin. When the queue is full, a request of a workspace with
 * fewer queued requests displaces the newest request of the workspace with the most, so
 * that a workspace with few requests is never starved. Thread-safe.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {

	private final Object lock = new Object();

	private final QueueSettings settings;

	private final Map<QueuePriority, PriorityLane<T>> laneByPriority = new EnumMap<>(QueuePriority.class);

	private final Map<String, WorkspaceDemand> demandByWorkspace = new HashMap<>();

	private int size;

	/**
	 * Creates an empty queue.
	 * @param settings bounds of the queue
	 */
	public FairQueue(QueueSettings settings) {
		this.settings = settings;
		for (QueuePriority priority : QueuePriority.values()) {
			this.laneByPriority.put(priority, new PriorityLane<>());
		}
	}

	/**
	 * Adds a request.
	 * @param request the request
	 * @return whether the request was queued, and the request that it displaced
	 */
	public OfferResult<T> offer(QueuedRequest<T> request) {
		synchronized (this.lock) {
			int queuedOfWorkspace = queuedOf(request.workspace());
			if (queuedOfWorkspace >= this.settings.workspaceCapacity()) {
				return new OfferResult.Refused<>(OfferResult.Reason.WORKSPACE_OVER_SHARE);
			}
			QueuedRequest<T> displaced = null;
			if (this.size >= this.settings.capacity()) {
				displaced = displaceRequestFor(request, queuedOfWorkspace);
				if (displaced == null) {
					return new OfferResult.Refused<>(OfferResult.Reason.FULL);
				}
			}
			lane(request.priority()).add(request);
			this.demandByWorkspace.computeIfAbsent(request.workspace(), (name) -> new WorkspaceDemand())
				.add(request.weight());
			this.size++;
			return new OfferResult.Queued<>(Optional.ofNullable(displaced));
		}
	}

	// Makes room for a request in a full queue by removing the newest request of the
	// workspace that has the most queued requests relative to its weight. If this is the
	// workspace of the offered request, only a request of a lower priority is removed.
	@Nullable private QueuedRequest<T> displaceRequestFor(QueuedRequest<T> offered, int queuedOfWorkspace) {
		double ratioWithOffered = (queuedOfWorkspace + 1) / offered.weight();
		String largestWorkspace = offered.workspace();
		double largestRatio = ratioWithOffered;
		for (Map.Entry<String, WorkspaceDemand> demand : this.demandByWorkspace.entrySet()) {
			double ratio = demand.getValue().queuedPerWeight();
			if (ratio > largestRatio) {
				largestRatio = ratio;
				largestWorkspace = demand.getKey();
			}
		}
		boolean sameWorkspace = largestWorkspace.equals(offered.workspace());
		QueuePriority[] lowestFirst = { QueuePriority.LOW, QueuePriority.NORMAL, QueuePriority.HIGH };
		for (QueuePriority priority : lowestFirst) {
			if (sameWorkspace && priority.compareTo(offered.priority()) <= 0) {
				return null;
			}
			QueuedRequest<T> newest = lane(priority).removeNewest(largestWorkspace);
			if (newest != null) {
				countRemoval(newest);
				return newest;
			}
		}
		return null;
	}

	/**
	 * Removes the next request to start, and requests whose deadline has passed.
	 * @param nowNanos monotonic time
	 * @return the next request, if any, and the expired requests
	 */
	public PollResult<T> poll(long nowNanos) {
		synchronized (this.lock) {
			List<QueuedRequest<T>> expired = new ArrayList<>();
			QueuedRequest<T> next = null;
			while (next == null && this.size > expired.size()) {
				PriorityLane<T> lane = nextLane();
				if (lane == null) {
					break;
				}
				next = lane.poll(nowNanos, expired);
			}
			expired.forEach(this::countRemoval);
			if (next != null) {
				countRemoval(next);
			}
			return new PollResult<>(Optional.ofNullable(next), List.copyOf(expired));
		}
	}

	// Chooses the next priority by smooth weighted round robin over the priorities that
	// have queued requests.
	@Nullable private PriorityLane<T> nextLane() {
		PriorityLane<T> best = null;
		int totalShare = 0;
		for (QueuePriority priority : QueuePriority.values()) {
			PriorityLane<T> lane = lane(priority);
			if (lane.size() == 0) {
				lane.currentWeight = 0;
				continue;
			}
			lane.currentWeight += priority.share();
			totalShare += priority.share();
			if (best == null || lane.currentWeight > best.currentWeight) {
				best = lane;
			}
		}
		if (best != null) {
			best.currentWeight -= totalShare;
		}
		return best;
	}

	/**
	 * Removes every request whose deadline has passed, at any position in the queue.
	 * @param nowNanos monotonic time
	 * @return the removed requests
	 */
	public List<QueuedRequest<T>> removeExpired(long nowNanos) {
		synchronized (this.lock) {
			List<QueuedRequest<T>> expired = new ArrayList<>();
			for (PriorityLane<T> lane : this.laneByPriority.values()) {
				lane.removeExpired(nowNanos, expired);
			}
			expired.forEach(this::countRemoval);
			return expired;
		}
	}

	/**
	 * Removes every request, for instance because admission is closed.
	 * @return the removed requests
	 */
	public List<QueuedRequest<T>> removeAll() {
		synchronized (this.lock) {
			List<QueuedRequest<T>> removed = new ArrayList<>();
			for (PriorityLane<T> lane : this.laneByPriority.values()) {
				lane.removeAll(removed);
			}
			removed.forEach(this::countRemoval);
			return removed;
		}
	}

	/**
	 * Removes a request that need not run any more, for instance because its caller
	 * canceled it.
	 * @param request the request as it was offered
	 * @return whether it was still queued
	 */
	public boolean tryRemove(QueuedRequest<T> request) {
		synchronized (this.lock) {
			boolean removed = lane(request.priority()).remove(request.workspace(), request.item());
			if (removed) {
				countRemoval(request);
			}
			return removed;
		}
	}

	/**
	 * Returns whether a request of a workspace would be refused now. Adds nothing to the
	 * queue.
	 * @param workspace the workspace
	 * @return whether the workspace has reached its capacity, or the queue is full and
	 * the workspace has a request in it
	 */
	public boolean wouldRefuse(String workspace) {
		synchronized (this.lock) {
			int queuedOfWorkspace = queuedOf(workspace);
			return queuedOfWorkspace >= this.settings.workspaceCapacity()
					|| (queuedOfWorkspace > 0 && this.size >= this.settings.capacity());
		}
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of queued requests
	 */
	public int size() {
		synchronized (this.lock) {
			return this.size;
		}
	}

	private PriorityLane<T> lane(QueuePriority priority) {
		PriorityLane<T> lane = this.laneByPriority.get(priority);
		if (lane == null) {
			throw new IllegalStateException("no lane for " + priority);
		}
		return lane;
	}

	private int queuedOf(String workspace) {
		WorkspaceDemand demand = this.demandByWorkspace.get(workspace);
		return (demand != null) ? demand.queued : 0;
	}

	private void countRemoval(QueuedRequest<T> removed) {
		this.size--;
		WorkspaceDemand demand = this.demandByWorkspace.get(removed.workspace());
		if (demand != null && demand.removeOne()) {
			this.demandByWorkspace.remove(removed.workspace());
		}
	}

	/**
	 * Number of queued requests and weight of one workspace.
	 */
	private static final class WorkspaceDemand {

		private int queued;

		private double weight = 1;

		private void add(double newWeight) {
			this.queued++;
			this.weight = newWeight;
		}

		private boolean removeOne() {
			this.queued--;
			return this.queued == 0;
		}

		private double queuedPerWeight() {
			return this.queued / this.weight;
		}

	}

}
