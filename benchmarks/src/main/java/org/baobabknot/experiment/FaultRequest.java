package org.baobabknot.experiment;

import java.util.List;

import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadRequest;

/**
 * A request with all its attempts, as its caller saw it.
 *
 * @param request the request
 * @param attempts the attempts in order
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
	 * @param entry the entry that got it
	 * @param sentMillis when it was sent
	 * @param endMillis when it ended
	 * @param status the HTTP status, 0 without an answer
	 * @param outcome how it ended
	 * @param detail what is wrong, empty for a whole answer
	 */
	record Attempt(String entry, long sentMillis, long endMillis, int status, LoadOutcome outcome, String detail) {

	}

}
