package org.baobabknot.load;

/**
 * Outcome and latency of one finished request.
 *
 * @param id the id of the request
 * @param kind the group of the request in the report
 * @param outcome how the request ended
 * @param intendedNanos monotonic time at which the request should have started
 * @param latencyNanos time from the intended start to the end of the response
 * @param firstByteNanos time from the intended start to the first body byte, or -1
 * @param bodyParts body parts received
 * @param detail status and failure of a request that did not end as
 * {@link LoadOutcome#WHOLE}, empty otherwise
 */
public record Sample(String id, String kind, LoadOutcome outcome, long intendedNanos, long latencyNanos,
		long firstByteNanos, int bodyParts, String detail) {

	static Sample of(LoadRequest request, LoadResponse response, long intendedNanos) {
		LoadOutcome outcome = LoadOutcome.of(request, response);
		long firstByteNanos = (response.firstByteNanos() != 0) ? response.firstByteNanos() - intendedNanos : -1;
		return new Sample(request.id(), request.kind(), outcome, intendedNanos, response.endNanos() - intendedNanos,
				firstByteNanos, response.bodyParts(),
				(outcome != LoadOutcome.WHOLE) ? detail(request, response, outcome) : "");
	}

	private static String detail(LoadRequest request, LoadResponse response, LoadOutcome outcome) {
		if (response.failure() != null) {
			return response.status() + " " + response.failure();
		}
		if (outcome == LoadOutcome.WRONG) {
			return response.status() + " " + request.check().findError(response).orElse("");
		}
		return response.status() + " " + response.text();
	}

}
