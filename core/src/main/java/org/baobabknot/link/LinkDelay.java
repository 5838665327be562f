package org.baobabknot.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Estimates for how long bytes wait at the link of a machine, in both directions
 * together, from the round trips of small probes. Answers the load of a link that is
 * filled: a probe that does not come back counts with the time that it has been away, so
 * that the delay shows before the first late echo. Probes go to several peers in turn,
 * and one late or lost echo shows nothing. Confined to one thread.
 */
public final class LinkDelay {

	/** Largest delay that is told apart, in ms. */
	public static final double MOST_MS = 3_000;

	/** Round trips of which the shortest counts, since one peer may be slow. */
	private static final int ROUND_TRIPS = 2;

	/** Probes after the newest echo that may be lost, or be at a peer that is gone. */
	private static final int MOST_LOST = 2;

	/** Probes that are remembered: all that are sent while one is away for long. */
	private static final int MOST_AWAY = 128;

	private static final double MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final Deque<Probe> away = new ArrayDeque<>();

	private final Deque<Double> roundTripsMs = new ArrayDeque<>();

	private long number;

	private long confirmedNanos = Long.MIN_VALUE;

	/**
	 * Takes note of a probe that is sent now.
	 * @param nowNanos monotonic time
	 * @return its number, at least 1
	 */
	public long sent(long nowNanos) {
		this.number++;
		this.away.addLast(new Probe(this.number, nowNanos));
		if (this.away.size() > MOST_AWAY) {
			this.away.removeFirst();
		}
		return this.number;
	}

	/**
	 * Takes note of a probe that came back. One that is older than the newest that came
	 * back shows nothing new.
	 * @param echoed its number
	 * @param nowNanos monotonic time
	 */
	public void echoed(long echoed, long nowNanos) {
		while (!this.away.isEmpty() && this.away.getFirst().number() <= echoed) {
			Probe probe = this.away.removeFirst();
			if (probe.number() == echoed) {
				this.roundTripsMs.addLast(probe.awayMs(nowNanos));
				this.confirmedNanos = probe.sentNanos();
			}
		}
		while (this.roundTripsMs.size() > ROUND_TRIPS) {
			this.roundTripsMs.removeFirst();
		}
	}

	/**
	 * Returns when the newest probe that came back was sent. What was sent before it has
	 * left the link of this machine.
	 * @return monotonic time, {@link Long#MIN_VALUE} before the first echo
	 */
	public long confirmedNanos() {
		return this.confirmedNanos;
	}

	/**
	 * Tells whether more probes are away than may be lost, so that the next one had
	 * better go to another group of peers.
	 * @return whether the peers that were probed may be gone
	 */
	public boolean unanswered() {
		return this.away.size() > MOST_LOST;
	}

	/**
	 * Returns the delay.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 as long as nothing is known, at most {@link #MOST_MS}
	 */
	public double delayMs(long nowNanos) {
		double seen = this.roundTripsMs.stream().mapToDouble(Double::doubleValue).min().orElse(0);
		double waiting = this.away.stream()
			.skip(MOST_LOST)
			.findFirst()
			.map((probe) -> probe.awayMs(nowNanos))
			.orElse(0.0);
		return Math.min(MOST_MS, Math.max(seen, waiting));
	}

	/** A probe on its way. */
	private record Probe(long number, long sentNanos) {

		double awayMs(long nowNanos) {
			return (nowNanos - this.sentNanos) / MILLISECOND;
		}

	}

}
