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
	public static final double MAX_DELAY_MS = 3_000;

	/** Round trips of which the shortest counts, since one peer may be slow. */
	private static final int RECENT_ROUND_TRIPS = 2;

	/** Probes after the newest echo that may be lost, or be at a peer that is gone. */
	private static final int MAX_LOST_PROBES = 2;

	/** Probes that are remembered: all that are sent while one is away for long. */
	private static final int MAX_PENDING_PROBES = 128;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Deque<Probe> pendingProbes = new ArrayDeque<>();

	private final Deque<Double> roundTripsMs = new ArrayDeque<>();

	private long lastNumber;

	private long lastEchoedSentNanos = Long.MIN_VALUE;

	/**
	 * Takes note of a probe that is sent now.
	 * @param nowNanos monotonic time
	 * @return its number, at least 1
	 */
	public long recordSent(long nowNanos) {
		this.lastNumber++;
		this.pendingProbes.addLast(new Probe(this.lastNumber, nowNanos));
		if (this.pendingProbes.size() > MAX_PENDING_PROBES) {
			this.pendingProbes.removeFirst();
		}
		return this.lastNumber;
	}

	/**
	 * Takes note of a probe that came back. One that is older than the newest that came
	 * back shows nothing new.
	 * @param number its number
	 * @param nowNanos monotonic time
	 */
	public void recordEcho(long number, long nowNanos) {
		while (!this.pendingProbes.isEmpty() && this.pendingProbes.getFirst().number() <= number) {
			Probe probe = this.pendingProbes.removeFirst();
			if (probe.number() == number) {
				this.roundTripsMs.addLast(probe.ageMs(nowNanos));
				this.lastEchoedSentNanos = probe.sentNanos();
			}
		}
		while (this.roundTripsMs.size() > RECENT_ROUND_TRIPS) {
			this.roundTripsMs.removeFirst();
		}
	}

	/**
	 * Returns when the newest probe that came back was sent. What was sent before it has
	 * left the link of this machine.
	 * @return monotonic time, {@link Long#MIN_VALUE} before the first echo
	 */
	public long lastEchoedSentNanos() {
		return this.lastEchoedSentNanos;
	}

	/**
	 * Tells whether more probes are away than may be lost, so that the next one had
	 * better go to another group of peers.
	 * @return whether the peers that were probed may be gone
	 */
	public boolean peersUnresponsive() {
		return this.pendingProbes.size() > MAX_LOST_PROBES;
	}

	/**
	 * Returns the delay.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 as long as nothing is known, at most {@link #MAX_DELAY_MS}
	 */
	public double delayMs(long nowNanos) {
		double roundTripMs = this.roundTripsMs.stream().mapToDouble(Double::doubleValue).min().orElse(0);
		double pendingMs = this.pendingProbes.stream()
			.skip(MAX_LOST_PROBES)
			.findFirst()
			.map((probe) -> probe.ageMs(nowNanos))
			.orElse(0.0);
		return Math.min(MAX_DELAY_MS, Math.max(roundTripMs, pendingMs));
	}

	/** A probe on its way. */
	private record Probe(long number, long sentNanos) {

		double ageMs(long nowNanos) {
			return (nowNanos - this.sentNanos) / NANOS_PER_MS;
		}

	}

}
