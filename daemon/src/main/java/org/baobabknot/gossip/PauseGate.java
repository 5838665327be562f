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
	static final long BEAT_MS = 200;

	// A beat that is more than 1 s late is taken for a pause of the whole process.
	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(BEAT_MS + 1_000);

	private final List<Runnable> waiting = new ArrayList<>();

	private final Ticker ticker;

	private volatile Runnable onPause = () -> {
	};

	private volatile long lastBeat;

	private volatile boolean open = true;

	private long pauses;

	/**
	 * Creates an open gate.
	 * @param ticker monotonic clock
	 */
	public PauseGate(Ticker ticker) {
		this.ticker = ticker;
		this.lastBeat = ticker.nanoTime();
	}

	/**
	 * Whether new work may be admitted now. The time since the last beat is compared here
	 * too, because after a pause a request may be read before the timer runs.
	 * @return false between a pause and the answer of a peer
	 */
	public boolean open() {
		return this.open && !late();
	}

	/**
	 * Runs a task now, or when the gate opens; then on the thread that opens it.
	 * @param task the task; must not block
	 */
	public void run(Runnable task) {
		if (!open()) {
			beat();
			synchronized (this.waiting) {
				if (!this.open) {
					this.waiting.add(task);
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
	public long pauses() {
		synchronized (this.waiting) {
			return this.pauses;
		}
	}

	void onPause(Runnable action) {
		this.onPause = action;
	}

	/**
	 * Called every 200 ms. Shuts the gate if the previous beat is too long ago.
	 */
	void beat() {
		boolean paused = false;
		synchronized (this.waiting) {
			if (late()) {
				paused = true;
				this.open = false;
				this.pauses++;
			}
			this.lastBeat = this.ticker.nanoTime();
		}
		if (paused) {
			this.onPause.run();
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

	private boolean late() {
		return this.ticker.nanoTime() - this.lastBeat > PAUSE_NANOS;
	}

}
