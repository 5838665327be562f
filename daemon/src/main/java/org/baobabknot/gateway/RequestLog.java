package org.baobabknot.gateway;

import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.provider.CallerHead;
import org.jspecify.annotations.Nullable;

/**
 * Writes the lines about one request.
 */
final class RequestLog {

	private static final long NANOS_PER_MS = 1_000_000;

	private final Gateway gateway;

	private final String requestId;

	RequestLog(Gateway gateway, String requestId) {
		this.gateway = gateway;
		this.requestId = requestId;
	}

	void attemptFailed(TargetAttempt from, String reason) {
		long now = System.nanoTime();
		this.gateway.log()
			.line(DecisionLog.Importance.FAILURE, "attempt-failed")
			.with("request", this.requestId)
			.with("target", from.target().id())
			.with("address", from.target().address())
			.with("reason", reason)
			.with("predictedMs", Math.round(from.predictedMs()))
			.with("load", Math.round(from.load().estimatedRequests(now)))
			.with("lagMs", Math.round(from.load().lagMs(now)))
			.with("linkMs", Math.round(from.load().linkDelayMs(now)))
			.with("afterMs", (now - from.sentNanos()) / NANOS_PER_MS)
			.write();
	}

	void ended(End end, CallerHead head, @Nullable TargetAttempt at) {
		this.gateway.log()
			.line((end.served()) ? DecisionLog.Importance.SUCCESS : DecisionLog.Importance.FAILURE, "request-ended")
			.with("request", this.requestId)
			.with("outcome", end.outcome())
			.with("detail", end.detail())
			.with("route", end.route())
			.with("target", (at != null) ? at.target().id() : "")
			.with("load", (at != null) ? Math.round(at.load().estimatedRequests(System.nanoTime())) : -1)
			.with("linkMs", (at != null) ? Math.round(at.load().linkDelayMs(System.nanoTime())) : -1)
			.with("attemptMs", (at != null) ? (System.nanoTime() - at.sentNanos()) / NANOS_PER_MS : -1)
			.with("sends", end.sends())
			.with("events", end.events())
			.with("tookMs", end.tookMs())
			.with("urgency", end.urgency())
			.with("promptTokens", head.promptTokens())
			.with("answerTokens", Math.round(head.plannedAnswerTokens()))
			.with("configuration", this.gateway.view().configuration().map(FleetConfiguration::version).orElse(0L))
			.with("ageMs", this.gateway.ageMs())
			.write();
	}

	/**
	 * How a request ended.
	 *
	 * @param outcome outcome in a few words with dashes
	 * @param detail what decided it
	 * @param route name of its route, empty if it has none
	 * @param sends targets to which it was sent
	 * @param events events that the caller got
	 * @param tookMs time from its last byte, in ms
	 * @param urgency its rank, 0 first, -1 if it was refused before it had one
	 */
	record End(String outcome, String detail, String route, int sends, int events, long tookMs, int urgency) {

		boolean served() {
			return this.outcome.equals("whole") || this.outcome.equals("caller-gone");
		}

	}

}
