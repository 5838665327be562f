package org.baobabknot.gateway;

import java.util.function.Consumer;

import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.protocol.generated.PermitMessage;

/**
 * Passes the datagrams of other processes on to the state that they update.
 *
 * @param targetPool load of the targets
 * @param requestGuard evidence about requests under which targets crash
 * @param sharedLimits limits that targets state
 */
record PeerReports(TargetPool targetPool, RequestGuard requestGuard,
		SharedLimits sharedLimits) implements LoadReceiver.Listener {

	@Override
	public void loadReported(String address, int requests, boolean acceptsRequests, int linkDelayMs, int lateMs) {
		this.targetPool.loadReported(address, requests, acceptsRequests, linkDelayMs, lateMs);
	}

	@Override
	public double lateMs(String address) {
		return this.targetPool.lateMs(address);
	}

	@Override
	public void partsReported(PartReport report, Consumer<PartReport> reply) {
		this.requestGuard.handle(report, reply);
	}

	@Override
	public void permitsReported(PermitMessage message, Consumer<PermitMessage> reply) {
		this.sharedLimits.handle(message, reply);
	}

}
