package org.baobabknot.entry;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.baobabknot.protocol.generated.RefusalReason;

/**
 * Error response that the entry itself generates, as problem details (RFC 9457).
 *
 * @param status HTTP status
 * @param type type of the problem without the prefix {@code urn:baobabknot:}
 * @param detail the cause in one line
 * @param retryAfterMs delay after which a retry may succeed, in ms, 0 to omit it
 */
record ErrorResponse(HttpResponseStatus status, String type, String detail, long retryAfterMs) {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String UNKNOWN = "unknown";

	private static final String INCOMPLETE = "incomplete";

	private static final long MS_PER_SECOND = 1000;

	private static final long DEFAULT_RETRY_AFTER_MS = 1000;

	static ErrorResponse badRequest(HttpResponseStatus status, String detail) {
		return new ErrorResponse(status, "bad-request", detail, 0);
	}

	static ErrorResponse badRequest(String detail) {
		return badRequest(HttpResponseStatus.BAD_REQUEST, detail);
	}

	static ErrorResponse unknownOutcome(String detail) {
		return new ErrorResponse(HttpResponseStatus.GATEWAY_TIMEOUT, UNKNOWN, detail, 0);
	}

	/**
	 * Creates the response to a request whose deadline has passed.
	 * @param sent whether the request may have been sent to an agent
	 * @return the error response
	 */
	static ErrorResponse deadlinePassed(boolean sent) {
		return (sent) ? unknownOutcome("deadline passed while the request was at an agent")
				: notRun(RefusalReason.DEADLINE_PASSED, "deadline passed before the request was sent", 0);
	}

	/**
	 * Creates the response to a request that the end of this process cuts.
	 * @param sent whether the request may have been sent to an agent
	 * @return the error response
	 */
	static ErrorResponse processEnded(boolean sent) {
		return (sent)
				? new ErrorResponse(HttpResponseStatus.BAD_GATEWAY, UNKNOWN,
						"this entry ended while the request was at an agent", 0)
				: notRun(RefusalReason.REFUSED_LEAVING, "this entry ended before the request was sent", 0);
	}

	static ErrorResponse failed(String detail) {
		return new ErrorResponse(HttpResponseStatus.BAD_GATEWAY, INCOMPLETE, detail, 0);
	}

	/**
	 * Creates the response to a request that was not run.
	 * @param reason reason of the refusal
	 * @param detail the cause in one line
	 * @param retryAfterMs delay requested by the agent, in ms, 0 for the default of the
	 * reason
	 * @return the error response
	 */
	static ErrorResponse notRun(RefusalReason reason, String detail, long retryAfterMs) {
		String hyphenatedReason = reason.name().toLowerCase(Locale.ROOT).replace("refused_", "").replace('_', '-');
		long effectiveRetryAfterMs = (retryAfterMs > 0) ? retryAfterMs : defaultRetryAfterMs(reason);
		return new ErrorResponse(status(reason), "not-run:" + hyphenatedReason, detail, effectiveRetryAfterMs);
	}

	/**
	 * Returns the same error without the statement that the request has not run.
	 * @return the error response, which may not be retried
	 */
	ErrorResponse withUnknownOutcome() {
		return new ErrorResponse(this.status, UNKNOWN, this.detail, 0);
	}

	/**
	 * Returns how a request with this response ended, for metrics and log.
	 * @return one word
	 */
	String outcome() {
		return switch (this.type) {
			case UNKNOWN -> "unknown";
			case INCOMPLETE -> "failed";
			default -> "refused";
		};
	}

	FullHttpResponse toHttpResponse(String requestId) {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("type", "urn:baobabknot:" + this.type);
		body.put("title", this.status.reasonPhrase());
		body.put("status", this.status.code());
		body.put("detail", this.detail);
		if (!requestId.isEmpty()) {
			body.put("instance", requestId);
		}
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, this.status,
				Unpooled.wrappedBuffer(bytes));
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
			.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		if (this.retryAfterMs > 0) {
			long seconds = (this.retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
			response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
		}
		return response;
	}

	private static HttpResponseStatus status(RefusalReason reason) {
		return switch (reason) {
			case WORKSPACE_OVER_SHARE -> HttpResponseStatus.TOO_MANY_REQUESTS;
			case DEADLINE_PASSED -> HttpResponseStatus.GATEWAY_TIMEOUT;
			case WORKSPACE_NOT_SERVED -> HttpResponseStatus.FORBIDDEN;
			case KEY_REUSED -> HttpResponseStatus.UNPROCESSABLE_ENTITY;
			case KEY_RUNNING, TOMBSTONED -> HttpResponseStatus.CONFLICT;
			case UNKNOWN_SERVICE -> HttpResponseStatus.NOT_FOUND;
			case OVERSIZED -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
			default -> HttpResponseStatus.SERVICE_UNAVAILABLE;
		};
	}

	private static long defaultRetryAfterMs(RefusalReason reason) {
		return switch (reason) {
			case WORKSPACE_NOT_SERVED, KEY_REUSED, UNKNOWN_SERVICE, OVERSIZED, DEADLINE_PASSED, TOMBSTONED -> 0;
			default -> DEFAULT_RETRY_AFTER_MS;
		};
	}

}
