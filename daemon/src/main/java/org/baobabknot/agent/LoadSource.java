package org.baobabknot.agent;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.baobabknot.admission.CloseReason;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.target.TargetStatus;

/**
 * Supplies the current load of the target for pongs and responses.
 */
final class LoadSource implements Supplier<Load> {

	private final String service;

	private final org.baobabknot.agent.TargetAdmission admission;

	private final TargetMonitor monitor;

	LoadSource(String service, org.baobabknot.agent.TargetAdmission admission, TargetMonitor monitor) {
		this.service = service;
		this.admission = admission;
		this.monitor = monitor;
	}

	@Override
	public Load get() {
		Optional<TargetStatus> status = this.monitor.lastStatus();
		return Load.newBuilder()
			.setService(this.service)
			.setRunning(this.admission.running())
			.setQueued(this.admission.queued())
			.setLimit(this.admission.limiter().limit())
			.setAdmission(admission(this.admission.limiter().closeReason()))
			.setVersion(status.map(TargetStatus::version).orElse(""))
			.setDigest(status.map(TargetStatus::digest).orElse(""))
			.setLatencyUs(TimeUnit.NANOSECONDS.toMicros(this.admission.limiter().averageLatencyNanos()))
			.build();
	}

	private static Admission admission(Optional<CloseReason> closeReason) {
		if (closeReason.isEmpty()) {
			return Admission.OPEN;
		}
		return switch (closeReason.get()) {
			case SWITCHING -> Admission.SWITCHING;
			case LEAVING -> Admission.LEAVING;
			case UNAVAILABLE -> Admission.UNAVAILABLE;
			case DOMAIN_OUT -> Admission.DOMAIN_OUT;
		};
	}

}
