package org.baobabknot.gateway;

import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.limit.LimitStatement;
import org.baobabknot.limit.StatedLimit;
import org.baobabknot.placement.TargetLoad;
import org.baobabknot.provider.LimitField;
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
 * @param limitedTarget the limit that it states, and the permits of this process
 */
record PooledTarget(String address, long startedAtMs, HttpClient client, TargetLoad load, CrashProbe crashProbe,
		TargetRunCheck runCheck, LimitedTarget limitedTarget) {

	/**
	 * Returns whether an entry of this target names another start at this address, or
	 * another address and not an earlier start. Entries may be old, or state no start.
	 * @param target the entry
	 * @return whether requests go to what the entry names from now on
	 */
	boolean isReplacedBy(TargetRecord target) {
		boolean statesStart = target.startedMs() > 0;
		if (target.address().equals(this.address)) {
			// A clock that went back gives the next start an earlier time.
			return statesStart && target.startedMs() != this.startedAtMs;
		}
		return !statesStart || target.startedMs() >= this.startedAtMs;
	}

	/**
	 * Returns whether an entry shows that this start has ended, so that what runs there
	 * will not be answered.
	 * @param target the entry
	 * @return whether the entry is of a later start
	 */
	boolean hasEndedBefore(TargetRecord target) {
		return this.startedAtMs > 0 && target.startedMs() > this.startedAtMs;
	}

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
	 * @param matched whether the response is shown to belong to the request
	 * @param sentNanos monotonic time at which the request was sent
	 * @param nowNanos monotonic time
	 * @return whether the limit of the target has changed
	 */
	boolean recordStatements(TargetResponseHead response, boolean matched, long sentNanos, long nowNanos) {
		if (response.misdirected()) {
			return false;
		}
		if (response.leaving()) {
			this.load.availability().recordLeaving();
		}
		this.load.availability().recordRest(response.restMs(), nowNanos);
		if (!this.load.availability().acceptsRequests(nowNanos)) {
			this.client.withdrawWaiting("the target leaves or rests");
		}
		return recordLimit(response, matched, sentNanos, nowNanos);
	}

	// Without a limit, only a response of the target itself to this request shows that it
	// states none any more.
	private boolean recordLimit(TargetResponseHead response, boolean matched, long sentNanos, long nowNanos) {
		LimitField field = response.limit();
		StatedLimit limit = this.load.availability().limit();
		boolean shown = switch (field.kind()) {
			case STATED -> matched || field.ratePerSecond() < limit.ratePerSecond();
			case ABSENT -> matched && (response.signed() || response.notRun());
			case UNREADABLE -> false;
		};
		boolean limitedBefore = limit.limited();
		boolean changed = shown && limit.merge(new LimitStatement(field.ratePerSecond(), sentNanos, nowNanos));
		if (limit.limited() && !limitedBefore) {
			this.client.withdrawWaiting("the target states a limit");
		}
		return changed;
	}

}
