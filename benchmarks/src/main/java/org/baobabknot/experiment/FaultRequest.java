package org.baobabknot.experiment;

import java.util.List;

import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadRequest;

/**
 * A request with the outcome of each attempt, as seen by its caller.
 *
 * @param request the request
 * @param attempts the attempts in the order of sending
 */
record FaultRequest(LoadRequest request, List<Attempt> attempts) {

	FaultRequest {
		attempts = List.copyOf(attempts);
	}

	LoadOutcome outcome() {
		return this.attempts.get(this.attempts.size() - 1).outcome();
	}

	boolean anyAttemptEnded(LoadOutcome outcome) {
		return this.attempts.stream().anyMatch((attempt) -> attempt.outcome() == outcome);
	}

	boolean allAttemptsEnded(LoadOutcome outcome) {
		return this.attempts.stream().allMatch((attempt) -> attempt.outcome() == outcome);
	}

	/**
	 * One attempt.
	 *
	 * @param entry the entry that it was sent to
	 * @param sentMillis when it was sent, in milliseconds since the epoch
	 * @param endMillis when it ended, in milliseconds since the epoch
	 * @param status the HTTP status, 0 without a response
	 * @param outcome how it ended
	 * @param detail what failed, empty for a complete and correct response
	 */
	record Attempt(String entry, long sentMillis, long endMillis, int status, LoadOutcome outcome, String detail) {

	}

}
