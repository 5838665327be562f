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
 * Waiting requests of one priority, in deficit round robin over the workspaces. Not
 * thread-safe.
 *
 * @param <T> type of the items
 */
final class PriorityLane<T> {

	private final Map<String, Line<T>> lines = new HashMap<>();

	private final Deque<Line<T>> round = new ArrayDeque<>();

	private int size;

	/**
	 * Points of the smooth weighted round robin between priorities.
	 */
	int points;

	int size() {
		return this.size;
	}

	int size(String workspace) {
		Line<T> line = this.lines.get(workspace);
		return (line != null) ? line.waiting.size() : 0;
	}

	void add(Waiting<T> waiting) {
		Line<T> line = this.lines.get(waiting.workspace());
		if (line == null) {
			line = new Line<>(waiting.workspace());
			this.lines.put(waiting.workspace(), line);
			this.round.addLast(line);
		}
		line.weight = waiting.weight();
		line.waiting.addLast(waiting);
		this.size++;
	}

	// Takes the next request that has not expired.
	@Nullable Waiting<T> take(long nowNanos, List<Waiting<T>> expired) {
		while (!this.round.isEmpty()) {
			Line<T> line = this.round.peekFirst();
			dropExpired(line, nowNanos, expired);
			if (line.waiting.isEmpty()) {
				this.round.removeFirst();
				this.lines.remove(line.workspace);
			}
			else if (line.deficit >= 1) {
				return takeFrom(line);
			}
			else {
				line.deficit += quantum(line);
				if (line.deficit < 1) {
					this.round.addLast(this.round.removeFirst());
				}
			}
		}
		return null;
	}

	private Waiting<T> takeFrom(Line<T> line) {
		Waiting<T> next = line.waiting.removeFirst();
		this.size--;
		line.deficit -= 1;
		if (line.waiting.isEmpty()) {
			this.round.removeFirst();
			this.lines.remove(line.workspace);
		}
		else if (line.deficit < 1) {
			this.round.addLast(this.round.removeFirst());
		}
		return next;
	}

	// Scales the weights so that the heaviest workspace gets a quantum of at least one,
	// which bounds the number of rounds until some workspace is served.
	private double quantum(Line<T> line) {
		double heaviest = 0;
		for (Line<T> other : this.round) {
			heaviest = Math.max(heaviest, other.weight);
		}
		return line.weight / Math.min(heaviest, 1);
	}

	private void dropExpired(Line<T> line, long nowNanos, List<Waiting<T>> expired) {
		Iterator<Waiting<T>> iterator = line.waiting.iterator();
		while (iterator.hasNext()) {
			Waiting<T> waiting = iterator.next();
			if (!waiting.expired(nowNanos)) {
				return;
			}
			iterator.remove();
			this.size--;
			expired.add(waiting);
		}
	}

	void expire(long nowNanos, List<Waiting<T>> expired) {
		for (Line<T> line : List.copyOf(this.round)) {
			List<Waiting<T>> dropped = new ArrayList<>();
			line.waiting.removeIf((waiting) -> waiting.expired(nowNanos) && dropped.add(waiting));
			this.size -= dropped.size();
			expired.addAll(dropped);
			removeIfEmpty(line);
		}
	}

	void removeAll(List<Waiting<T>> removed) {
		for (Line<T> line : this.round) {
			removed.addAll(line.waiting);
		}
		this.round.clear();
		this.lines.clear();
		this.size = 0;
	}

	boolean remove(String workspace, T item) {
		Line<T> line = this.lines.get(workspace);
		if (line == null || !line.waiting.removeIf((waiting) -> waiting.item() == item)) {
			return false;
		}
		this.size--;
		removeIfEmpty(line);
		return true;
	}

	// Removes the newest request of a workspace.
	@Nullable Waiting<T> removeNewest(String workspace) {
		Line<T> line = this.lines.get(workspace);
		if (line == null) {
			return null;
		}
		Waiting<T> newest = line.waiting.removeLast();
		this.size--;
		removeIfEmpty(line);
		return newest;
	}

	private void removeIfEmpty(Line<T> line) {
		if (line.waiting.isEmpty()) {
			this.lines.remove(line.workspace);
			this.round.remove(line);
		}
	}

	/**
	 * Requests of one workspace.
	 */
	private static final class Line<T> {

		private final String workspace;

		private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

		private double weight = 1;

		private double deficit;

		private Line(String workspace) {
			this.workspace = workspace;
		}

	}

}
