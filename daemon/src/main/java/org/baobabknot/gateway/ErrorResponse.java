package org.baobabknot.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Answer of the gateway itself. A status that {@link #notRun} tells promises that the
 * request has not run and never will.
 *
 * @param status status
 * @param reason reason in a few words with dashes
 * @param detail explanation for operators
 * @param retryAfterMs time after which the caller may return, in ms, 0 to leave it out
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

	boolean notRun() {
		return this.status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
				|| this.status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
	}

}
