package org.baobabknot.soak;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.emulator.CallerExchange.End;

/**
 * Checks at all times that a response ends early only if each engine that was to finish
 * it has failed, or if its deadline, its caller or the end of its gateway ended it.
 */
final class ResponseChecks {

	/**
	 * Time after the end of a response in which an engine may record the failure that
	 * ended it: it closes a connection before it records that.
	 */
	static final long RECORDING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** Time after its last byte in which a request may cross the close. */
	private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final int STATUS_ERROR = 500;

	private final SoakHistory history;

	private final TargetRecords targets;

	private final Consumer<SoakViolation> violations;

	private final Map<String, Integer> excused = new TreeMap<>();

	private final Map<String, Integer> errors = new TreeMap<>();

	ResponseChecks(SoakHistory history, TargetRecords targets, Consumer<SoakViolation> violations) {
		this.history = history;
		this.targets = targets;
		this.violations = violations;
	}

	/**
	 * Returns the responses that ended early and are not counted.
	 * @return their number by reason
	 */
	Map<String, Integer> excused() {
		return Map.copyOf(this.excused);
	}

	/**
	 * Returns the errors of gateways, before the deadline, for requests that an engine
	 * had which did not fail. An error is an answer, so they are no violations.
	 * @return their number by status
	 */
	Map<String, Integer> errorsBesideSoundEngines() {
		return Map.copyOf(this.errors);
	}

	/**
	 * Checks a request outside of the stops of its gateway.
	 * @param request the request
	 */
	void check(SoakRequest request) {
		CallerExchange exchange = request.exchange();
		boolean early = exchange.cut() || exchange.end() == End.SILENT;
		if (early) {
			String excuse = excuse(request);
			if (excuse.isEmpty()) {
				this.violations
					.accept(new SoakViolation("LOST: " + request.describe() + " ended early (" + exchange.end()
							+ ") after " + TimeUnit.NANOSECONDS.toMillis(exchange.endNanos() - exchange.beginNanos())
							+ " ms, with " + exchange.body().length() + " bytes of its response, engines "
							+ this.targets.progress(request.message().id(), exchange.endNanos()), request));
			}
			else {
				this.excused.merge(excuse, 1, Integer::sum);
			}
		}
		else if (request.status() >= STATUS_ERROR && exchange.signature().isEmpty() && hasSoundTarget(request)
				&& excuse(request).isEmpty()) {
			this.errors.merge(Integer.toString(request.status()), 1, Integer::sum);
		}
	}

	private boolean hasSoundTarget(SoakRequest request) {
		return !request.message().id().isEmpty()
				&& this.targets.progress(request.message().id(), request.exchange().endNanos() + RECORDING_NANOS)
					.values()
					.stream()
					.anyMatch((progress) -> !progress.failed());
	}

	private String excuse(SoakRequest request) {
		CallerExchange exchange = request.exchange();
		String id = request.message().id();
		if (exchange.endNanos() - exchange.beginNanos() >= TimeUnit.MILLISECONDS.toNanos(request.timeoutMs())) {
			return "deadline";
		}
		if (id.isEmpty() || !this.targets.received(id)) {
			if (exchange.sentNanos() == 0) {
				return "request not sent whole";
			}
			if (exchange.endNanos() - exchange.sentNanos() <= CROSSING_NANOS) {
				return "crossed the close";
			}
		}
		else if (this.targets.allFailed(id, exchange.endNanos() + RECORDING_NANOS)) {
			return "each engine failed";
		}
		return (this.history.disturbed(request.gateway(), exchange.beginNanos(), exchange.endNanos(), false))
				? "gateway disturbed" : "";
	}

}
