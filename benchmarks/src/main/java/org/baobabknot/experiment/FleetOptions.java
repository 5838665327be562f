package org.baobabknot.experiment;

/**
 * Options for running a fleet.
 *
 * @param tls whether the processes use mutual TLS between them
 * @param threads event loops of each process
 * @param heapMegabytes maximum heap of each process, in megabytes
 * @param balancerLagMillis time for which the balancer still sends to a leaving entry, in
 * milliseconds
 * @param seed seed of the content of the first model version
 * @param optimized whether the processes use the optimizing compiler, which costs CPU
 * time at the start and is needed to measure speed
 * @param hosted whether all entries and agents but the first of each kind run as peers in
 * one process
 */
public record FleetOptions(boolean tls, int threads, int heapMegabytes, int balancerLagMillis, long seed,
		boolean optimized, boolean hosted) {

	/**
	 * Returns options for about 30 processes on one machine.
	 * @return plain TCP, one event loop and 64 MB each
	 */
	public static FleetOptions small() {
		return new FleetOptions(false, 1, 64, 1_500, 1, false, false);
	}

	/**
	 * Returns these options with mutual TLS.
	 * @return a changed copy
	 */
	public FleetOptions withTls() {
		return new FleetOptions(true, this.threads, this.heapMegabytes, this.balancerLagMillis, this.seed,
				this.optimized, this.hosted);
	}

	/**
	 * Returns these options with another seed.
	 * @param changed the seed
	 * @return a changed copy
	 */
	public FleetOptions withSeed(long changed) {
		return new FleetOptions(this.tls, this.threads, this.heapMegabytes, this.balancerLagMillis, changed,
				this.optimized, this.hosted);
	}

	/**
	 * Returns these options with another number of event loops and heap.
	 * @param loops event loops of each process
	 * @param megabytes maximum heap of each process, in megabytes
	 * @return a changed copy
	 */
	public FleetOptions withSize(int loops, int megabytes) {
		return new FleetOptions(this.tls, loops, megabytes, this.balancerLagMillis, this.seed, this.optimized,
				this.hosted);
	}

	/**
	 * Returns these options with the optimizing compiler.
	 * @return a changed copy
	 */
	public FleetOptions withOptimizer() {
		return new FleetOptions(this.tls, this.threads, this.heapMegabytes, this.balancerLagMillis, this.seed, true,
				this.hosted);
	}

	/**
	 * Returns these options with all instances but the first entry and the first agent in
	 * one process.
	 * @return a changed copy
	 */
	public FleetOptions withHostedPeers() {
		return new FleetOptions(this.tls, this.threads, this.heapMegabytes, this.balancerLagMillis, this.seed,
				this.optimized, true);
	}

}
