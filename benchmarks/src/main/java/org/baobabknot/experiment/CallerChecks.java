package org.baobabknot.experiment;

import java.util.List;
import java.util.Set;

import org.baobabknot.experiment.Violations.Guarantee;
import org.baobabknot.load.LoadOutcome;

/**
 * Checks the guarantees against the responses that callers received.
 */
final class CallerChecks {

	private static final int OK = 200;

	private final FaultHistory history;

	private final Violations violations;

	CallerChecks(FaultHistory history, Violations violations) {
		this.history = history;
		this.violations = violations;
	}

	void checkAll(List<FaultRequest> requests) {
		for (FaultRequest request : requests) {
			request.attempts().forEach((attempt) -> checkResponse(request, attempt));
		}
		for (FaultHistory.Shutdown shutdown : this.history.shutdowns()) {
			if (shutdown.status() != 0) {
				this.violations.add(Guarantee.SHUTDOWN, "exit status " + shutdown);
			}
			for (FaultRequest request : requests) {
				request.attempts()
					.stream()
					.filter((attempt) -> isAbortedBy(attempt, shutdown))
					.forEach((attempt) -> this.violations.add(Guarantee.SHUTDOWN, attempt + " during " + shutdown));
			}
		}
	}

	/**
	 * Checks that an entry that shuts down accepts connections for as long as the
	 * balancer may open them.
	 * @param refused connections that were not accepted
	 * @param balancerLagMillis time after the shutdown signal for which the balancer may
	 * still choose the entry, in milliseconds
	 */
	void checkRefusedConnections(List<FaultLoad.Refused> refused, long balancerLagMillis) {
		for (FaultHistory.Shutdown shutdown : this.history.shutdowns()) {
			refused.stream()
				.filter((connection) -> connection.entry().equals(shutdown.entry())
						&& connection.atMillis() >= shutdown.signalMillis()
						&& connection.atMillis() < shutdown.signalMillis() + balancerLagMillis)
				.forEach((connection) -> this.violations.add(Guarantee.SHUTDOWN, connection + " during " + shutdown));
		}
	}

	private void checkResponse(FaultRequest request, FaultRequest.Attempt attempt) {
		if (attempt.outcome() == LoadOutcome.WRONG) {
			this.violations.add(Guarantee.ANSWER, request.request().id() + ": " + attempt);
		}
	}

	// The shutdown is to blame for a connection closed without a response. A truncated
	// response can also be caused by another fault at the same time.
	private boolean isAbortedBy(FaultRequest.Attempt attempt, FaultHistory.Shutdown shutdown) {
		if (!attempt.entry().equals(shutdown.entry()) || attempt.outcome() != LoadOutcome.LOST
				|| attempt.endMillis() < shutdown.signalMillis() || attempt.sentMillis() > shutdown.exitMillis()) {
			return false;
		}
		boolean hasOtherFault = this.history.overlaps((kind) -> kind != FaultKind.ENTRY_TERM, Set.of(),
				attempt.sentMillis() - 2_000, attempt.endMillis());
		return attempt.status() == 0 || (attempt.status() == OK && !hasOtherFault);
	}

}
