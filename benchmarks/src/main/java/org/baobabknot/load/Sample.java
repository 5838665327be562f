package org.baobabknot.load;

/**
 * One finished request.
 *
 * @param id the id of the request
 * @param kind the group of the request
 * @param outcome how it ended
 * @param intendedNanos monotonic time at which it should have started
 * @param latencyNanos time from the intended start to the end of the answer
 * @param firstByteNanos time from the intended start to the first body byte, or -1
 * @param parts body parts received
 * @param detail status and problem of a request that did not end whole
 */
public record Sample(String id, String kind, LoadOutcome outcome, long intendedNanos, long latencyNanos,
		long firstByteNanos, int parts, String detail) {

	static Sample of(LoadRequest request, Answer answer, long intendedNanos) {
		LoadOutcome outcome = LoadOutcome.of(request, answer);
		long firstByte = (answer.firstByteNanos() != 0) ? answer.firstByteNanos() - intendedNanos : -1;
		return new Sample(request.id(), request.kind(), outcome, intendedNanos, answer.endNanos() - intendedNanos,
				firstByte, answer.parts(), (outcome != LoadOutcome.WHOLE) ? detail(request, answer, outcome) : "");
	}

	private static String detail(LoadRequest request, Answer answer, LoadOutcome outcome) {
		if (answer.failure() != null) {
			return answer.status() + " " + answer.failure();
		}
		if (outcome == LoadOutcome.WRONG) {
			return answer.status() + " " + request.check().fault(answer).orElse("");
		}
		return answer.status() + " " + answer.text();
	}

}
