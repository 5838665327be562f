package org.baobabknot.gateway;

import java.util.List;
import java.util.stream.Collectors;

import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.httpclient.ResponseOwner;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.provider.CallerRequestHead;
import org.baobabknot.provider.TargetResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * Logs the attempts and the outcome of one request.
 */
final class RequestLog {

	private static final long NANOS_PER_MS = 1_000_000;

	/** Parts of a prompt in one line; the header of a caller may name thousands. */
	private static final int MAX_LOGGED_PARTS = 8;

	private final Gateway gateway;

	private final String requestId;

	private final RequestTraits traits;

	RequestLog(Gateway gateway, CallerRequestHead head, RequestTraits traits) {
		this.gateway = gateway;
		this.requestId = head.requestId();
		this.traits = traits;
	}

	/**
	 * Logs a failed attempt.
	 * @param attempt the attempt
	 * @param reason cause of the failure
	 * @param events events that the caller had received before
	 */
	void attemptFailed(TargetAttempt attempt, String reason, int events) {
		long now = System.nanoTime();
		this.gateway.log()
			.line(DecisionLog.Importance.FAILURE, "attempt-failed")
			.with("request", this.requestId)
			.with("target", attempt.target().id())
			.with("address", attempt.target().address())
			.with("reason", reason)
			.with("predictedMs", Math.round(attempt.predictedMs()))
			.with("load", Math.round(attempt.load().estimatedRequests(now)))
			.with("lagMs", Math.round(attempt.load().lagMs(now)))
			.with("linkMs", Math.round(attempt.load().linkDelayMs(now)))
			.with("afterMs", (now - attempt.sentNanos()) / NANOS_PER_MS)
			.with("events", events)
			.with("parts", parts())
			.with("content", Long.toHexString(this.traits.content()))
			.with("framing", attempt.framing())
			.write();
	}

	/**
	 * Logs that another target is tried because the one of an attempt is silent.
	 * @param attempt the attempt
	 * @param events events that the caller has received
	 */
	void attemptSilent(TargetAttempt attempt, int events) {
		long now = System.nanoTime();
		this.gateway.log()
			.line(DecisionLog.Importance.FAILURE, "attempt-silent")
			.with("request", this.requestId)
			.with("target", attempt.target().id())
			.with("silentMs", attempt.responseSilentNanos(now) / NANOS_PER_MS)
			.with("targetSilentMs", attempt.targetSilentNanos(now) / NANOS_PER_MS)
			.with("events", events)
			.write();
	}

	private String parts() {
		return this.traits.sharedParts()
			.stream()
			.limit(MAX_LOGGED_PARTS)
			.map(Long::toHexString)
			.collect(Collectors.joining(","));
	}

	/**
	 * Logs a response that was not shown to belong to the request.
	 * @param attempt the attempt that its connection carries
	 * @param response decoded head of the response
	 * @param owner what the response states
	 */
	void responseUnmatched(TargetAttempt attempt, TargetResponseHead response, ResponseOwner owner) {
		this.gateway.log()
			.line(DecisionLog.Importance.FAILURE, "response-unmatched")
			.with("request", this.requestId)
			.with("target", attempt.target().id())
			.with("address", attempt.target().address())
			.with("states", owner.name())
			.with("responseRequest", response.requestId())
			.with("status", response.status())
			.with("afterMs", (System.nanoTime() - attempt.sentNanos()) / NANOS_PER_MS)
			.write();
	}

	void requestEnded(Summary summary, CallerRequestHead head, @Nullable TargetAttempt lastAttempt) {
		this.gateway.log()
			.line(importance(summary), "request-ended")
			.with("request", this.requestId)
			.with("outcome", summary.outcome())
			.with("detail", summary.detail())
			.with("route", summary.route())
			.with("target", (lastAttempt != null) ? lastAttempt.target().id() : "")
			.with("load",
					(lastAttempt != null) ? Math.round(lastAttempt.load().estimatedRequests(System.nanoTime())) : -1)
			.with("linkMs", (lastAttempt != null) ? Math.round(lastAttempt.load().linkDelayMs(System.nanoTime())) : -1)
			.with("attemptMs",
					(lastAttempt != null) ? (System.nanoTime() - lastAttempt.sentNanos()) / NANOS_PER_MS : -1)
			.with("framing", (lastAttempt != null) ? lastAttempt.framing() : "")
			.with("sends", summary.attempts())
			.with("cancelled", summary.cancelledTargets())
			.with("events", summary.events())
			.with("tookMs", summary.durationMs())
			.with("urgency", summary.urgency())
			.with("promptTokens", head.promptTokens())
			.with("answerTokens", Math.round(head.expectedOutputTokens()))
			.with("configuration", this.gateway.view().configuration().map(FleetConfiguration::version).orElse(0L))
			.with("ageMs", this.gateway.viewAgeMs())
			.write();
	}

	private DecisionLog.Importance importance(Summary summary) {
		if (this.gateway.ending()) {
			return DecisionLog.Importance.PROCESS_END;
		}
		return (summary.successful()) ? DecisionLog.Importance.SUCCESS : DecisionLog.Importance.FAILURE;
	}

	/**
	 * Outcome and figures of a completed request.
	 *
	 * @param outcome outcome as hyphenated words
	 * @param detail reason for the outcome
	 * @param route name of the route, empty if none matched
	 * @param attempts number of attempts, including those that did not run
	 * @param events number of stream events sent to the caller
	 * @param durationMs time since the last byte of the request, in ms
	 * @param urgency rank of the request, 0 is the most urgent, -1 if it was refused
	 * before its rank was known
	 * @param cancelled attempts that the end of the request has cancelled
	 */
	record Summary(String outcome, String detail, String route, int attempts, int events, long durationMs, int urgency,
			List<TargetAttempt> cancelled) {

		String cancelledTargets() {
			return this.cancelled.stream().map((attempt) -> attempt.target().id()).collect(Collectors.joining(","));
		}

		boolean successful() {
			return this.outcome.equals("whole") || this.outcome.equals("caller-gone");
		}

	}

}
