package org.baobabknot.entry;

import java.util.concurrent.TimeUnit;

import org.baobabknot.observe.DecisionLog;

/**
 * Counts and logs the ends of requests.
 */
final class RequestLog {

	private static final String WHOLE = "whole";

	private final DecisionLog log;

	private final EntryMetrics metrics;

	private volatile boolean processEnding;

	RequestLog(DecisionLog log, EntryMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Exempts all further lines from the limits of the log, because nothing else tells
	 * what became of the requests that the end of the process cuts.
	 */
	void processEnding() {
		this.processEnding = true;
	}

	/**
	 * Records the end of a request.
	 * @param request head of the request
	 * @param outcome how it ended
	 * @param progress how far it had come
	 * @param nowNanos current monotonic time
	 */
	void requestEnded(CallerRequest request, String outcome, ExchangeProgress progress, long nowNanos) {
		if (outcome.equals(WHOLE)) {
			this.metrics.completed();
		}
		else {
			this.metrics.ended(outcome);
		}
		line(outcome).with("request", request.idHex())
			.with("outcome", outcome)
			.with("service", request.service())
			.with("workspace", request.workspace())
			.with("agent", progress.agent())
			.with("status", progress.status())
			.with("sends", progress.attempts())
			.with("tookMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - progress.startNanos()))
			.write();
	}

	/**
	 * Records the end of a request that got no id, because its head was refused or did
	 * not arrive.
	 * @param outcome how it ended
	 * @param status status of its response, 0 for none
	 * @param detail the cause, empty if unknown
	 */
	void unidentifiedRequestEnded(String outcome, int status, String detail) {
		this.metrics.ended(outcome);
		line(outcome).with("outcome", outcome).with("status", status).with("detail", detail).write();
	}

	private DecisionLog.Line line(String outcome) {
		DecisionLog.Importance importance = (this.processEnding) ? DecisionLog.Importance.PROCESS_END
				: (outcome.equals(WHOLE)) ? DecisionLog.Importance.SUCCESS : DecisionLog.Importance.FAILURE;
		return this.log.line(importance, "request-ended");
	}

}
