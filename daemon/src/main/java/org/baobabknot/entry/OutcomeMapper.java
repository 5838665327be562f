package org.baobabknot.entry;

import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.Refused;
import org.baobabknot.retry.AttemptOutcome;
import org.baobabknot.retry.RetryDecision;
import org.jspecify.annotations.Nullable;

/**
 * Maps refusals of agents to outcomes of attempts, and the outcome of the last attempt to
 * the error response for the caller.
 */
final class OutcomeMapper {

	// After a full queue a second agent may accept the request. Under overload, further
	// attempts only add load and delay the refusal.
	private static final int MAX_ATTEMPTS_QUEUE_FULL = 2;

	private OutcomeMapper() {
	}

	static AttemptOutcome attemptOutcome(Refused refused, int attemptNumber) {
		return switch (refused.getReason()) {
			case WORKSPACE_NOT_SERVED, KEY_REUSED, KEY_RUNNING, DEADLINE_PASSED, OVERSIZED, CLAIM_UNAVAILABLE ->
				AttemptOutcome.REFUSED_EVERYWHERE;
			case QUEUE_FULL, WORKSPACE_OVER_SHARE ->
				(attemptNumber < MAX_ATTEMPTS_QUEUE_FULL) ? AttemptOutcome.REFUSED : AttemptOutcome.REFUSED_EVERYWHERE;
			default -> AttemptOutcome.REFUSED;
		};
	}

	static ErrorResponse noAgent(@Nullable ErrorResponse refusal, String service, boolean mayHaveRun) {
		if (mayHaveRun) {
			return ErrorResponse.failed("an agent failed while it had the request, and no other one accepts it");
		}
		return (refusal != null) ? refusal : ErrorResponse.notRun(RefusalReason.REFUSED_UNAVAILABLE,
				"no agent of " + service + " accepts requests", 0);
	}

	static ErrorResponse errorResponse(RetryDecision decision, AttemptOutcome outcome, boolean mayHaveRun,
			@Nullable ErrorResponse refusal, String detail) {
		RetryDecision.Reason reason = (decision instanceof RetryDecision.GiveUp giveUp) ? giveUp.reason()
				: RetryDecision.Reason.EXHAUSTED;
		if (outcome.notRun() || outcome == AttemptOutcome.REFUSED_EVERYWHERE) {
			if (mayHaveRun) {
				return ErrorResponse.failed("an earlier attempt may have run; last attempt: " + detail);
			}
			return (refusal != null) ? refusal : ErrorResponse.notRun(RefusalReason.REFUSED_UNAVAILABLE, detail, 0);
		}
		return switch (reason) {
			case UNKNOWN -> ErrorResponse.unknownOutcome(detail);
			case DEADLINE -> ErrorResponse.unknownOutcome("deadline passed; last attempt: " + detail);
			default -> ErrorResponse.failed(detail);
		};
	}

}
