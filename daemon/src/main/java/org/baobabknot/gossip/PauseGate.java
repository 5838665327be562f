package org.baobabknot.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds new work back after a pause of this process until a peer has told the current
 * revision, or 500 ms have passed. Thread-safe.
 */
public final class PauseGate {

	private final List<Runnable> waiting = new ArrayList<>();

	private volatile boolean open = true;

	/**
	 * Whether new work may be admitted now.
	 * @return false between a pause and the answer of a peer
	 */
	public boolean open() {
		return this.open;
	}

	/**
	 * Runs a task now, or when the gate opens; then on the thread that opens it.
	 * @param task the task; must not block
	 */
	public void run(Runnable task) {
		if (!this.open) {
			synchronized (this.waiting) {
				if (!this.open) {
					this.waiting.add(task);
					return;
				}
			}
		}
		task.run();
	}

	void shut() {
		synchronized (this.waiting) {
			this.open = false;
		}
	}

	void release() {
		List<Runnable> tasks;
		synchronized (this.waiting) {
			this.open = true;
			tasks = new ArrayList<>(this.waiting);
			this.waiting.clear();
		}
		tasks.forEach(Runnable::run);
	}

}
