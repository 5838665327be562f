package org.baobabknot.burst;

import org.baobabknot.experiment.Deployment;

/**
 * Sizes and rates of a burst, in proportion to the time allowed: the origin's link
 * carries four copies in it, the link of an instance two and the link between two failure
 * domains four, which live requests share.
 *
 * @param replicas replicas of the model service
 * @param entries entries before them
 * @param allowedSeconds time allowed for the burst
 * @param modelBytes bytes of the model
 * @param chunkBytes bytes of a chunk
 * @param outPerDomain replicas of a failure domain that may be out at once
 * @param loadMillis time of an engine to load weights
 */
record BurstPlan(int replicas, int entries, int allowedSeconds, int modelBytes, int chunkBytes, int outPerDomain,
		long loadMillis) {

	private static final int ORIGIN_COPIES = 4;

	private static final int INSTANCE_COPIES = 2;

	private static final int REGION_COPIES = 4;

	private static final int CHUNKS = 32;

	/** A tenth of a failure domain may be out at once. */
	private static final int OUT_SHARE = 10;

	static BurstPlan of(int replicas, int entries, int allowedSeconds, int modelBytes, long loadMillis) {
		int domains = Deployment.landshut().domains().size();
		int out = Math.max(1, replicas / domains / OUT_SHARE);
		return new BurstPlan(replicas, entries, allowedSeconds, modelBytes, modelBytes / CHUNKS, out, loadMillis);
	}

	Deployment deployment() {
		Deployment sized = Deployment.landshut()
			.withSize(this.entries, this.replicas)
			.with(rate(REGION_COPIES), rate(INSTANCE_COPIES), rate(ORIGIN_COPIES),
					new Deployment.Model(this.modelBytes, this.chunkBytes));
		return sized.with(sized.services()
			.stream()
			.map((service) -> service.engine() ? service.withLoadTime(this.loadMillis) : service)
			.toList());
	}

	/**
	 * The lower bound of the design page: one copy over the slower of the two links, and
	 * the loads that the switch limit makes follow each other.
	 * @return seconds
	 */
	double boundSeconds() {
		double copy = (double) this.allowedSeconds / INSTANCE_COPIES;
		return copy + Math.ceil((double) this.replicas / allowedOut()) * this.loadMillis / 1000.0;
	}

	/**
	 * Replicas that may be out at once over all failure domains.
	 * @return number of replicas
	 */
	int allowedOut() {
		return this.outPerDomain * Deployment.landshut().domains().size();
	}

	private long rate(int copies) {
		return (long) copies * this.modelBytes / this.allowedSeconds;
	}

}
