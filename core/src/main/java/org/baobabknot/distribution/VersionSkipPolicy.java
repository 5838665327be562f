package org.baobabknot.distribution;

/**
 * Decides whether a version is skipped after a newer one was announced, which happens
 * when versions follow in quick succession or after an outage of the origin. A version
 * serves only until the newer one is mandatory, and the time for its chunks, its load and
 * the drain of the engines is lost to the newer one. All members decide alike, because
 * the decision depends only on the times of the announcements and the rates of the links.
 *
 * @param fetchMs time in which a version reaches all members over their links, in ms
 * @param loadMs time from the load order until an engine runs a version, in ms
 * @param mandatoryAfterMs time from the announcement of a version until it is mandatory,
 * in ms
 */
public record VersionSkipPolicy(double fetchMs, double loadMs, double mandatoryAfterMs) {

	/**
	 * Returns whether to skip the version and continue with the newer one at once.
	 * @param namedMs time at which the version was announced, in ms
	 * @param newerMs time at which the newer version was announced, in ms
	 * @param allChunksHeld whether all chunks of the version are held
	 * @param nowMs current time, in ms
	 * @return true when skipping the version does not lengthen the time in which engines
	 * run no version that may serve
	 */
	public boolean shouldSkip(double namedMs, double newerMs, boolean allChunksHeld, double nowMs) {
		double newerReadyMs = nowMs + this.fetchMs + this.loadMs;
		double gapWhenSkippedMs = Math.max(0, newerReadyMs - Math.max(nowMs, namedMs + this.mandatoryAfterMs));
		if (gapWhenSkippedMs == 0) {
			return true;
		}
		double remainingFetchMs = (allChunksHeld) ? 0 : Math.max(0, this.fetchMs - (nowMs - namedMs));
		double readyMs = nowMs + remainingFetchMs + this.loadMs;
		double gapBeforeMs = Math.max(0, readyMs - Math.max(nowMs, namedMs + this.mandatoryAfterMs));
		double gapAfterMs = Math.max(0, nowMs + remainingFetchMs + this.fetchMs + this.loadMs
				- Math.max(readyMs, Math.max(nowMs, newerMs + this.mandatoryAfterMs)));
		return gapWhenSkippedMs <= gapBeforeMs + gapAfterMs;
	}

}
