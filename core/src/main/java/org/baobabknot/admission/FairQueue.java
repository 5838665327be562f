package org.baobabknot.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Bounded queue that is fair between workspaces. Each priority has a share of the polls,
 * and inside a priority the workspaces take turns by weighted deficit round robin. When
 * the queue is full, a workspace with fewer waiting requests displaces the newest request
 * of the workspace with the most, so a workspace with small demand is never starved.
 * Thread-safe.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {

	private final Object lock = new Object();

	private final QueueSettings settings;

	private final Map<Priority, PriorityLane<T>> lanes = new EnumMap<>(Priority.class);

	private final Map<String, Demand> demands = new HashMap<>();

	private int size;

	/**
	 * Creates an empty queue.
	 * @param settings bounds of the queue
	 */
	public FairQueue(QueueSettings settings) {
		this.settings = settings;
		for (Priority priority : Priority.values()) {
			this.lanes.put(priority, new PriorityLane<>());
		}
	}

	/**
	 * Adds a request.
	 * @param waiting the request
	 * @return whether it waits, and the request that was displaced by it
	 */
	public Offer<T> offer(Waiting<T> waiting) {
		synchronized (this.lock) {
			int own = waitingOf(waiting.workspace());
			if (own >= this.settings.workspaceCapacity()) {
				return new Offer.Refused<>(Offer.Reason.WORKSPACE_OVER_SHARE);
			}
			Waiting<T> displaced = null;
			if (this.size >= this.settings.capacity()) {
				displaced = displaceFor(waiting, own);
				if (displaced == null) {
					return new Offer.Refused<>(Offer.Reason.FULL);
				}
			}
			lane(waiting.priority()).add(waiting);
			this.demands.computeIfAbsent(waiting.workspace(), (name) -> new Demand()).add(waiting.weight());
			this.size++;
			return new Offer.Queued<>(Optional.ofNullable(displaced));
		}
	}

	// Finds room for a request in a full queue: at the cost of the workspace that has the
	// most waiting requests for its weight, or of a lower priority of the same workspace.
	@Nullable private Waiting<T> displaceFor(Waiting<T> waiting, int own) {
		double ownAfter = (own + 1) / waiting.weight();
		String longest = waiting.workspace();
		double most = ownAfter;
		for (Map.Entry<String, Demand> demand : this.demands.entrySet()) {
			double pressure = demand.getValue().pressure();
			if (pressure > most) {
				most = pressure;
				longest = demand.getKey();
			}
		}
		boolean self = longest.equals(waiting.workspace());
		Priority[] lowestFirst = { Priority.LOW, Priority.NORMAL, Priority.HIGH };
		for (Priority priority : lowestFirst) {
			if (self && priority.compareTo(waiting.priority()) <= 0) {
				return null;
			}
			Waiting<T> newest = lane(priority).removeNewest(longest);
			if (newest != null) {
				left(newest);
				return newest;
			}
		}
		return null;
	}

	/**
	 * Takes the next request to start and drops requests whose deadline has passed.
	 * @param nowNanos monotonic time
	 * @return the next request, if there is one, and the dropped ones
	 */
	public Poll<T> poll(long nowNanos) {
		synchronized (this.lock) {
			List<Waiting<T>> expired = new ArrayList<>();
			Waiting<T> next = null;
			while (next == null && this.size > expired.size()) {
				PriorityLane<T> lane = nextLane();
				if (lane == null) {
					break;
				}
				next = lane.take(nowNanos, expired);
			}
			expired.forEach(this::left);
			if (next != null) {
				left(next);
			}
			return new Poll<>(Optional.ofNullable(next), List.copyOf(expired));
		}
	}

	// Chooses the priority that is next by smooth weighted round robin over the
	// priorities with waiting requests.
	@Nullable private PriorityLane<T> nextLane() {
		PriorityLane<T> best = null;
		int total = 0;
		for (Priority priority : Priority.values()) {
			PriorityLane<T> lane = lane(priority);
			if (lane.size() == 0) {
				lane.points = 0;
				continue;
			}
			lane.points += priority.share();
			total += priority.share();
			if (best == null || lane.points > best.points) {
				best = lane;
			}
		}
		if (best != null) {
			best.points -= total;
		}
		return best;
	}

	/**
	 * Drops every request whose deadline has passed, wherever it waits.
	 * @param nowNanos monotonic time
	 * @return the dropped requests
	 */
	public List<Waiting<T>> expire(long nowNanos) {
		synchronized (this.lock) {
			List<Waiting<T>> expired = new ArrayList<>();
			for (PriorityLane<T> lane : this.lanes.values()) {
				lane.expire(nowNanos, expired);
			}
			expired.forEach(this::left);
			return expired;
		}
	}

	/**
	 * Removes every request, for instance because admission is closed.
	 * @return the removed requests
	 */
	public List<Waiting<T>> removeAll() {
		synchronized (this.lock) {
			List<Waiting<T>> removed = new ArrayList<>();
			for (PriorityLane<T> lane : this.lanes.values()) {
				lane.removeAll(removed);
			}
			removed.forEach(this::left);
			return removed;
		}
	}

	/**
	 * Removes a request that is no longer wanted.
	 * @param waiting the request as it was offered
	 * @return whether it was still waiting
	 */
	public boolean tryRemove(Waiting<T> waiting) {
		synchronized (this.lock) {
			boolean removed = lane(waiting.priority()).remove(waiting.workspace(), waiting.item());
			if (removed) {
				left(waiting);
			}
			return removed;
		}
	}

	/**
	 * Returns whether a request of a workspace would be refused now, without adding it.
	 * @param workspace the workspace
	 * @return whether the queue or the part of the workspace is full
	 */
	public boolean full(String workspace) {
		synchronized (this.lock) {
			int own = waitingOf(workspace);
			return own >= this.settings.workspaceCapacity() || (own > 0 && this.size >= this.settings.capacity());
		}
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number of waiting requests
	 */
	public int size() {
		synchronized (this.lock) {
			return this.size;
		}
	}

	private PriorityLane<T> lane(Priority priority) {
		PriorityLane<T> lane = this.lanes.get(priority);
		if (lane == null) {
			throw new IllegalStateException("no lane for " + priority);
		}
		return lane;
	}

	private int waitingOf(String workspace) {
		Demand demand = this.demands.get(workspace);
		return (demand != null) ? demand.waiting : 0;
	}

	private void left(Waiting<T> waiting) {
		this.size--;
		Demand demand = this.demands.get(waiting.workspace());
		if (demand != null && demand.removeOne()) {
			this.demands.remove(waiting.workspace());
		}
	}

	/**
	 * Number of waiting requests of one workspace and its weight.
	 */
	private static final class Demand {

		private int waiting;

		private double weight = 1;

		private void add(double newWeight) {
			this.waiting++;
			this.weight = newWeight;
		}

		private boolean removeOne() {
			this.waiting--;
			return this.waiting == 0;
		}

		private double pressure() {
			return this.waiting / this.weight;
		}

	}

}
