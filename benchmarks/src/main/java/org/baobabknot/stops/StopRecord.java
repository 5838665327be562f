package org.baobabknot.stops;

/**
 * One stop of a gateway. Times are monotonic, in ns.
 *
 * @param gateway number of the gateway
 * @param plan what happened in it
 * @param signalNanos time of SIGTERM
 * @param endNanos end of the process
 * @param killed whether the process had to be killed
 * @param log log of the process
 */
record StopRecord(int gateway, StopPlan plan, long signalNanos, long endNanos, boolean killed, String log) {

	/**
	 * Returns whether a request was open in this stop, or sent in it.
	 * @param request the request
	 * @return whether it concerns this stop
	 */
	boolean concerns(StopRequest request) {
		return request.gateway == this.gateway && request.endedNanos > this.signalNanos
				&& request.beganNanos < this.endNanos;
	}

}
