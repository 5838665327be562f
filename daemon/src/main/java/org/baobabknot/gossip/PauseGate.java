package org.baobabknot.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Ticker;

/**
 * Detects pauses of this process, and holds back new work after a pause until a peer has
 * responded with its rules or 500 ms have passed. Thread-safe.
 */
public final class PauseGate {

	/** Interval of the calls of {@link #check}. */
	static final long CHECK_INTERVAL_MS = 200;

	// A check that is more than 1 s late counts as a pause of the whole process.
	private static final long MAX_CHECK_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS + 1_000);

	private final List<Runnable> heldTasks = new ArrayList<>();

	private final Ticker ticker;

	private volatile Runnable pauseListener = () -> {
	};

	private volatile long lastCheckNanos;

	private volatile boolean isOpen = true;

	private long pauseCount;

	/**
	 * Creates an open gate.
	 * @param ticker monotonic clock
	 */
	public PauseGate(Ticker ticker) {
		this.ticker = ticker;
		this.lastCheckNanos = ticker.nanoTime();
	}

	/**
	 * Whether new work may be admitted now. Also compares the time since the last check,
	 * because after a pause a request may be read before the timer runs.
	 * @return false from a pause until {@link #reopen}
	 */
	public boolean isOpen() {
		return this.isOpen && !isCheckOverdue();
	}

	/**
	 * Runs a task at once if the gate is open, otherwise when the gate reopens, on the
	 * thread that reopens it.
	 * @param task the task; must not block
	 */
	public void runWhenOpen(Runnable task) {
		if (!isOpen()) {
			check();
			synchronized (this.heldTasks) {
				if (!this.isOpen) {
					this.heldTasks.add(task);
					return;
				}
			}
		}
		task.run();
	}

	/**
	 * Number of detected pauses.
	 * @return count since the start
	 */
	public long pauseCount() {
		synchronized (this.heldTasks) {
			return this.pauseCount;
		}
	}

	void setPauseListener(Runnable listener) {
		this.pauseListener = listener;
	}

	/**
	 * Closes the gate and notifies the listener if the previous check was too long ago.
	 * Called every 200 ms.
	 */
	void check() {
		boolean paused = false;
		synchronized (this.heldTasks) {
			if (isCheckOverdue()) {
				paused = true;
				this.isOpen = false;
				this.pauseCount++;
			}
			this.lastCheckNanos = this.ticker.nanoTime();
		}
		if (paused) {
			this.pauseListener.run();
		}
	}

	void reopen() {
		List<Runnable> tasks;
		synchronized (this.heldTasks) {
			this.isOpen = true;
			tasks = new ArrayList<>(this.heldTasks);
			this.heldTasks.clear();
		}
		tasks.forEach(Runnable::run);
	}

	private boolean isCheckOverdue() {
		return this.ticker.nanoTime() - this.lastCheckNanos > MAX_CHECK_GAP_NANOS;
	}

}
