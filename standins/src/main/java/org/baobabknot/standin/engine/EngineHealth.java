package org.baobabknot.standin.engine;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Incarnation of an engine and whether it is cold.
 */
final class EngineHealth {

	private final long coldMillis;

	private long incarnation = ThreadLocalRandom.current().nextLong(1, 1L << 40);

	private long coldSinceNanos = System.nanoTime();

	private boolean warm;

	EngineHealth(long coldMillis) {
		this.coldMillis = coldMillis;
	}

	long incarnation() {
		return this.incarnation;
	}

	void restart() {
		this.incarnation++;
		setCold();
	}

	void setCold() {
		this.warm = false;
		this.coldSinceNanos = System.nanoTime();
	}

	void setWarm() {
		this.warm = true;
	}

	boolean isCold() {
		if (!this.warm && coldDurationMillis() >= this.coldMillis) {
			this.warm = true;
		}
		return !this.warm;
	}

	long coldDurationMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.coldSinceNanos);
	}

}
