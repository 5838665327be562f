package org.baobabknot.gateway;

import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.placement.TargetLoad;
import org.baobabknot.provider.TargetResponseHead;
import org.baobabknot.provider.TargetRunCheck;

/**
 * Connections and load of one start of a target.
 *
 * @param address remote address of the connections
 * @param startedAtMs start of the target in ms since 1970
 * @param client client with the connections
 * @param load load and health of the target
 * @param crashProbe finds out whether the target has crashed
 * @param runCheck shows that this start of the target still runs
 */
record PooledTarget(String address, long startedAtMs, HttpClient client, TargetLoad load, CrashProbe crashProbe,
		TargetRunCheck runCheck) {

	/**
	 * Finds out whether the target has crashed after a connection was lost, so that no
	 * requests of callers have to.
	 */
	void checkCrash() {
		this.crashProbe.hasCrashed().thenAccept((crashed) -> {
			if (crashed) {
				this.load.recordConnectionRefused(System.nanoTime());
			}
		});
	}

	/**
	 * Records what the target states about itself in a response. Requests that wait for a
	 * connection to a target which accepts none any more go to other targets.
	 * @param response head of the response; of one whose address belongs to another
	 * target, nothing is recorded
	 * @param nowNanos monotonic time
	 */
	void recordStatements(TargetResponseHead response, long nowNanos) {
		if (response.misdirected()) {
			return;
		}
		if (response.leaving()) {
			this.load.availability().recordLeaving();
		}
		this.load.availability().recordRest(response.restMs(), nowNanos);
		if (!this.load.availability().acceptsRequests(nowNanos)) {
			this.client.withdrawWaiting("the target leaves or rests");
		}
	}

}
