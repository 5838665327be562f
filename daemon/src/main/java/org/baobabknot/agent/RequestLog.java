package org.baobabknot.agent;

import java.util.concurrent.TimeUnit;

import org.baobabknot.observe.DecisionLog;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Hash128;

/**
 * Logs the ends of requests.
 */
final class RequestLog {

	private final DecisionLog log;

	private volatile boolean processEnding;

	RequestLog(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Exempts all further lines from the limits of the log, because nothing else tells
	 * what became of the requests that the end of the process cuts.
	 */
	void processEnding() {
		this.processEnding = true;
	}

	/**
	 * Logs the end of a request.
	 * @param start head of the request
	 * @param entry instance that sent it
	 * @param outcome how it ended
	 * @param detail the cause, empty for a response that was passed on
	 * @param durationNanos time since its arrival
	 */
	void requestEnded(RequestStart start, String entry, String outcome, String detail, long durationNanos) {
		DecisionLog.Importance importance = (this.processEnding) ? DecisionLog.Importance.PROCESS_END
				: (outcome.equals("whole") || outcome.equals("replayed")) ? DecisionLog.Importance.SUCCESS
						: DecisionLog.Importance.FAILURE;
		boolean hasId = start.getRequestId().size() == Hash128.BYTES;
		this.log.line(importance, "request-ended")
			.with("request", (hasId) ? Hash128.of(start.getRequestId().toByteArray()).toString() : "")
			.with("outcome", outcome)
			.with("detail", detail)
			.with("entry", entry)
			.with("workspace", start.getWorkspace())
			.with("tookMs", TimeUnit.NANOSECONDS.toMillis(durationNanos))
			.write();
	}

}
