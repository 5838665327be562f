package org.baobabknot.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Error response that the gateway itself generates. If {@link #notRun} is true, the
 * status guarantees that the request has not run and never will.
 *
 * @param status status code
 * @param reason reason as hyphenated words
 * @param detail explanation for operators
 * @param retryAfterMs delay after which the caller may retry, in ms, 0 to omit it
 */
record ErrorResponse(HttpResponseStatus status, String reason, String detail, long retryAfterMs) {

	static ErrorResponse notRun(String reason, String detail, long retryAfterMs) {
		return new ErrorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, detail, Math.max(1, retryAfterMs));
	}

	static ErrorResponse unknownOutcome(HttpResponseStatus status, String reason, String detail) {
		return new ErrorResponse(status, reason, detail, 0);
	}

	static ErrorResponse denied(HttpResponseStatus status, String reason, String detail) {
		return new ErrorResponse(status, reason, detail, 0);
	}

	/**
	 * Creates the response to a request with a quarantined part. It promises nothing
	 * about whether the request has run, and callers don't retry after it.
	 * @return the response
	 */
	static ErrorResponse harmfulPrompt() {
		return denied(HttpResponseStatus.BAD_REQUEST, "part-quarantined",
				"several targets crashed under a part of the prompt");
	}

	boolean notRun() {
		return this.status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
				|| this.status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
	}

}
