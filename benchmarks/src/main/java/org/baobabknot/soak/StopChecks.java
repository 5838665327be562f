package org.baobabknot.soak;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.baobabknot.soak.SoakHistory.Disturbance;

/**
 * Checks that a planned stop of a gateway cuts off only what the rules excuse.
 */
final class StopChecks {

	/** Time after the grace in which the stop still explains a cut. */
	private static final long AFTER_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time without a disturbance before the request. */
	private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Time after its last byte in which a request may cross the close. */
	private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** Time after SIGTERM in which load balancers still send requests. */
	private static final long LATE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final long graceNanos = TimeUnit.MILLISECONDS.toNanos(SoakSite.SHUTDOWN_MS);

	private final SoakHistory history;

	private final TargetRecords targets;

	private final Consumer<SoakViolation> violations;

	private final Map<String, Integer> excused = new TreeMap<>();

	StopChecks(SoakHistory history, TargetRecords targets, Consumer<SoakViolation> violations) {
		this.history = history;
		this.targets = targets;
		this.violations = violations;
	}

	/**
	 * Returns the requests that were cut in a stop and are not counted, by the reason.
	 * @return their number by reason
	 */
	Map<String, Integer> excused() {
		return Map.copyOf(this.excused);
	}

	/**
	 * Checks a request that was cut off in a stop.
	 * @param request the request
	 * @return whether it was, so that this check judges it
	 */
	boolean check(SoakRequest request) {
		long endNanos = request.exchange().endNanos();
		if (!request.exchange().cut() || request.exchange().sentNanos() == 0) {
			return false;
		}
		Optional<Disturbance> cause = this.history.disturbances()
			.stream()
			.filter((each) -> each.planned() && each.gateway() == request.gateway() && each.fromNanos() <= endNanos
					&& endNanos <= each.fromNanos() + this.graceNanos + AFTER_GRACE_NANOS)
			.findFirst();
		cause.ifPresent((stop) -> check(request, stop));
		return cause.isPresent();
	}

	private void check(SoakRequest request, Disturbance stop) {
		String excuse = excuse(request, stop);
		if (excuse.isEmpty()) {
			this.violations.accept(new SoakViolation("LOST: " + request.describe() + " was cut "
					+ TimeUnit.NANOSECONDS.toMillis(request.exchange().endNanos() - stop.fromNanos())
					+ " ms after SIGTERM, with " + request.exchange().body().length()
					+ " bytes of its response, engines "
					+ this.targets.progress(request.message().id(), request.exchange().endNanos()), request));
		}
		else {
			this.excused.merge(excuse, 1, Integer::sum);
		}
	}

	private String excuse(SoakRequest request, Disturbance stop) {
		long sentNanos = request.exchange().sentNanos();
		long endNanos = request.exchange().endNanos();
		String id = request.message().id();
		boolean passedOn = !id.isEmpty() && this.targets.received(id);
		if (!passedOn && endNanos - sentNanos <= CROSSING_NANOS) {
			return "crossed the close";
		}
		if (this.history.disturbed(request.gateway(), request.exchange().beginNanos() - CONTACT_NANOS, endNanos,
				false)) {
			return "disturbed";
		}
		if (endNanos - request.exchange().beginNanos() >= TimeUnit.MILLISECONDS.toNanos(request.timeoutMs())) {
			return "deadline";
		}
		if (passedOn && this.targets.allFailed(id, endNanos + ResponseChecks.RECORDING_NANOS)) {
			return "each engine failed";
		}
		boolean late = passedOn && sentNanos <= stop.fromNanos() + LATE_NANOS
				&& this.targets.atWork(id, stop.fromNanos() + this.graceNanos * 5 / 6);
		return (late) ? "at work in the last sixth" : "";
	}

}
