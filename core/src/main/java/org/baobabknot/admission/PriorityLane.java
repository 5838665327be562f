package org.baobabknot.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Queued requests of one priority, polled by deficit round robin over the workspaces. Not
 * thread-safe.
 *
 * @param <T> type of the items
 */
final class PriorityLane<T> {

	private final Map<String, WorkspaceQueue<T>> queueByWorkspace = new HashMap<>();

	private final Deque<WorkspaceQueue<T>> roundRobin = new ArrayDeque<>();

	private int size;

	/**
	 * Current weight of this priority in the smooth weighted round robin of
	 * {@link FairQueue}.
	 */
	int currentWeight;

	int size() {
		return this.size;
	}

	int size(String workspace) {
		WorkspaceQueue<T> queue = this.queueByWorkspace.get(workspace);
		return (queue != null) ? queue.requests.size() : 0;
	}

	void add(QueuedRequest<T> request) {
		WorkspaceQueue<T> queue = this.queueByWorkspace.get(request.workspace());
		if (queue == null) {
			queue = new WorkspaceQueue<>(request.workspace());
			this.queueByWorkspace.put(request.workspace(), queue);
			this.roundRobin.addLast(queue);
		}
		queue.weight = request.weight();
		queue.requests.addLast(request);
		this.size++;
	}

	// Removes the next request that has not expired.
	@Nullable QueuedRequest<T> poll(long nowNanos, List<QueuedRequest<T>> expired) {
		while (!this.roundRobin.isEmpty()) {
			WorkspaceQueue<T> queue = this.roundRobin.peekFirst();
			removeExpiredHead(queue, nowNanos, expired);
			if (queue.requests.isEmpty()) {
				this.roundRobin.removeFirst();
				this.queueByWorkspace.remove(queue.workspace);
			}
			else if (queue.deficit >= 1) {
				return pollFrom(queue);
			}
			else {
				queue.deficit += quantum(queue);
				if (queue.deficit < 1) {
					this.roundRobin.addLast(this.roundRobin.removeFirst());
				}
			}
		}
		return null;
	}

	private QueuedRequest<T> pollFrom(WorkspaceQueue<T> queue) {
		QueuedRequest<T> next = queue.requests.removeFirst();
		this.size--;
		queue.deficit -= 1;
		if (queue.requests.isEmpty()) {
			this.roundRobin.removeFirst();
			this.queueByWorkspace.remove(queue.workspace);
		}
		else if (queue.deficit < 1) {
			this.roundRobin.addLast(this.roundRobin.removeFirst());
		}
		return next;
	}

	// Scales the weights so that the workspace with the largest weight gets a quantum of
	// at least one. This bounds the number of rounds until a workspace is served.
	private double quantum(WorkspaceQueue<T> queue) {
		double largestWeight = 0;
		for (WorkspaceQueue<T> other : this.roundRobin) {
			largestWeight = Math.max(largestWeight, other.weight);
		}
		return queue.weight / Math.min(largestWeight, 1);
	}

	private void removeExpiredHead(WorkspaceQueue<T> queue, long nowNanos, List<QueuedRequest<T>> expired) {
		Iterator<QueuedRequest<T>> iterator = queue.requests.iterator();
		while (iterator.hasNext()) {
			QueuedRequest<T> request = iterator.next();
			if (!request.isExpired(nowNanos)) {
				return;
			}
			iterator.remove();
			this.size--;
			expired.add(request);
		}
	}

	void removeExpired(long nowNanos, List<QueuedRequest<T>> expired) {
		for (WorkspaceQueue<T> queue : List.copyOf(this.roundRobin)) {
			List<QueuedRequest<T>> removed = new ArrayList<>();
			queue.requests.removeIf((request) -> request.isExpired(nowNanos) && removed.add(request));
			this.size -= removed.size();
			expired.addAll(removed);
			removeIfEmpty(queue);
		}
	}

	void removeAll(List<QueuedRequest<T>> removed) {
		for (WorkspaceQueue<T> queue : this.roundRobin) {
			removed.addAll(queue.requests);
		}
		this.roundRobin.clear();
		this.queueByWorkspace.clear();
		this.size = 0;
	}

	boolean remove(String workspace, T item) {
		WorkspaceQueue<T> queue = this.queueByWorkspace.get(workspace);
		if (queue == null || !queue.requests.removeIf((request) -> request.item() == item)) {
			return false;
		}
		this.size--;
		removeIfEmpty(queue);
		return true;
	}

	// Removes the newest request of a workspace.
	@Nullable QueuedRequest<T> removeNewest(String workspace) {
		WorkspaceQueue<T> queue = this.queueByWorkspace.get(workspace);
		if (queue == null) {
			return null;
		}
		QueuedRequest<T> newest = queue.requests.removeLast();
		this.size--;
		removeIfEmpty(queue);
		return newest;
	}

	private void removeIfEmpty(WorkspaceQueue<T> queue) {
		if (queue.requests.isEmpty()) {
			this.queueByWorkspace.remove(queue.workspace);
			this.roundRobin.remove(queue);
		}
	}

	/**
	 * Queued requests of one workspace.
	 */
	private static final class WorkspaceQueue<T> {

		private final String workspace;

		private final Deque<QueuedRequest<T>> requests = new ArrayDeque<>();

		private double weight = 1;

		private double deficit;

		private WorkspaceQueue(String workspace) {
			this.workspace = workspace;
		}

	}

}
