package org.baobabknot.burst;

import org.baobabknot.experiment.Deployment;

/**
 * Sizes and rates of a burst. The link rates are derived from the allowed time: within it
 * the origin's link carries four copies of the model, the link of an instance two, and
 * the link between two failure domains four. Live requests share these links.
 *
 * @param replicas replicas of the model service
 * @param entries entries in front of the replicas
 * @param allowedSeconds time allowed for the burst, in seconds
 * @param modelBytes bytes of the model
 * @param chunkBytes bytes of a chunk
 * @param maxOutPerDomain replicas of a failure domain that may be out of service at the
 * same time
 * @param loadMillis time in which an engine loads weights, in milliseconds
 */
record BurstPlan(int replicas, int entries, int allowedSeconds, int modelBytes, int chunkBytes, int maxOutPerDomain,
		long loadMillis) {

	private static final int ORIGIN_LINK_COPIES = 4;

	private static final int INSTANCE_LINK_COPIES = 2;

	private static final int DOMAIN_LINK_COPIES = 4;

	private static final int CHUNK_COUNT = 32;

	/**
	 * A tenth of the replicas of a failure domain may be out of service at the same time.
	 */
	private static final int OUT_DIVISOR = 10;

	static BurstPlan of(int replicas, int entries, int allowedSeconds, int modelBytes, long loadMillis) {
		int domains = Deployment.landshut().domains().size();
		int maxOutPerDomain = Math.max(1, replicas / domains / OUT_DIVISOR);
		return new BurstPlan(replicas, entries, allowedSeconds, modelBytes, modelBytes / CHUNK_COUNT, maxOutPerDomain,
				loadMillis);
	}

	Deployment deployment() {
		Deployment sized = Deployment.landshut()
			.withSize(this.entries, this.replicas)
			.with(bytesPerSecond(DOMAIN_LINK_COPIES), bytesPerSecond(INSTANCE_LINK_COPIES),
					bytesPerSecond(ORIGIN_LINK_COPIES), new Deployment.Model(this.modelBytes, this.chunkBytes));
		return sized.with(sized.services()
			.stream()
			.map((service) -> service.engine() ? service.withLoadTime(this.loadMillis) : service)
			.toList());
	}

	/**
	 * Returns the lower bound of the burst's duration, as defined on the design page: the
	 * time of one copy over the slower of the two links, plus the loads that the switch
	 * limit forces to run one after another.
	 * @return the bound in seconds
	 */
	double boundSeconds() {
		double copySeconds = (double) this.allowedSeconds / INSTANCE_LINK_COPIES;
		return copySeconds + Math.ceil((double) this.replicas / maxOut()) * this.loadMillis / 1000.0;
	}

	/**
	 * Returns the number of replicas in all failure domains that may be out of service at
	 * the same time.
	 * @return number of replicas
	 */
	int maxOut() {
		return this.maxOutPerDomain * Deployment.landshut().domains().size();
	}

	private long bytesPerSecond(int copies) {
		return (long) copies * this.modelBytes / this.allowedSeconds;
	}

}
