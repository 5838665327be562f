package org.baobabknot.distribution;

/**
 * Decides whether a version is still brought to the engines after a newer one was named.
 * Answers versions in quick succession and outages of the origin: a version serves only
 * until the newer one is binding, and its chunks, its load and the time in which the
 * engines drain are lost to the newer one. All members decide alike, because only the
 * times at which the versions were named and the rates of the links count.
 *
 * @param fetchMs time in which a version reaches all members over their links, in ms
 * @param loadMs time from the order until an engine runs a version, in ms
 * @param mandatoryAfterMs time after its naming at which a version is binding, in ms
 */
public record VersionSkipPolicy(double fetchMs, double loadMs, double mandatoryAfterMs) {

	/**
	 * Tells whether to go on with the newer version at once.
	 * @param namedMs time at which the version was named
	 * @param newerMs time at which the newer version was named
	 * @param allChunksHeld whether all chunks of the version are held
	 * @param nowMs time now
	 * @return whether engines are without a version that may serve for a shorter time if
	 * the version is skipped
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
