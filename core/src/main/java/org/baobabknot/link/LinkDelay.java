package org.baobabknot.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the queueing delay at the link of an instance, in both directions together,
 * from the round trips of small probes. To detect a saturated link before the first late
 * echo, a pending probe counts with its age. Probes are sent to several peers in turn,
 * and one late or lost echo does not raise the estimate. Confined to one thread.
 */
public final class LinkDelay {

	/** Largest delay that is reported, in ms. */
	public static final double MAX_DELAY_MS = 3_000;

	/**
	 * Number of recent round trips of which the shortest counts, since one peer may be
	 * slow.
	 */
	private static final int RECENT_ROUND_TRIPS = 2;

	/** Probes after the latest echo that may be lost or sent to a peer that is gone. */
	private static final int MAX_LOST_PROBES = 2;

	/**
	 * Largest number of pending probes that are tracked; enough for all probes sent while
	 * one is delayed for long.
	 */
	private static final int MAX_PENDING_PROBES = 128;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Deque<Probe> pendingProbes = new ArrayDeque<>();

	private final Deque<Double> roundTripsMs = new ArrayDeque<>();

	private long lastNumber;

	private long lastEchoedSentNanos = Long.MIN_VALUE;

	/**
	 * Records a probe that is sent now.
	 * @param nowNanos monotonic time
	 * @return the number of the probe, at least 1
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
	 * Records the echo of a probe. An echo of a probe that was sent before the latest
	 * echoed one is ignored.
	 * @param number number of the probe
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
	 * Returns when the latest echoed probe was sent. All bytes sent before it have left
	 * the link of this instance.
	 * @return monotonic time, {@link Long#MIN_VALUE} before the first echo
	 */
	public long lastEchoedSentNanos() {
		return this.lastEchoedSentNanos;
	}

	/**
	 * Returns whether more probes are pending than may be lost, so that the next one
	 * should be sent to another group of peers.
	 * @return whether the probed peers may be gone
	 */
	public boolean peersUnresponsive() {
		return this.pendingProbes.size() > MAX_LOST_PROBES;
	}

	/**
	 * Returns the estimated delay.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 without any measurement, at most {@link #MAX_DELAY_MS}
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

	/** A probe without an echo so far. */
	private record Probe(long number, long sentNanos) {

		double ageMs(long nowNanos) {
			return (nowNanos - this.sentNanos) / NANOS_PER_MS;
		}

	}

}
