package org.baobabknot.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Ticker;

/**
 * Detects that this process was paused, and holds new work back after a pause until a
 * peer has told the current revision, or 500 ms have passed. Thread-safe.
 */
public final class PauseGate {

	/** Interval of the beats. */
	static final long CHECK_INTERVAL_MS = 200;

	// A beat that is more than 1 s late is taken for a pause of the whole process.
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
	 * Whether new work may be admitted now. The time since the last beat is compared here
	 * too, because after a pause a request may be read before the timer runs.
	 * @return false between a pause and the answer of a peer
	 */
	public boolean isOpen() {
		return this.isOpen && !isCheckOverdue();
	}

	/**
	 * Runs a task now, or when the gate opens; then on the thread that opens it.
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
	 * Number of pauses detected.
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
	 * Called every 200 ms. Shuts the gate if the previous beat is too long ago.
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
