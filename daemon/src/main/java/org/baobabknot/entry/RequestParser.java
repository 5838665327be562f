package org.baobabknot.entry;

import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.protocol.generated.Priority;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.rules.RuleSet;
import org.baobabknot.settings.Settings;

/**
 * Parses the head of a request and validates it against the limits and the rules in
 * force.
 */
final class RequestParser {

	private static final int MAX_KEY_LENGTH = 255;

	private final Settings.Http http;

	private final Settings.Timeouts timeouts;

	private final ConfigurationView configuration;

	private final RequestIdGenerator ids = new RequestIdGenerator();

	RequestParser(Settings.Http http, Settings.Timeouts timeouts, ConfigurationView configuration) {
		this.http = http;
		this.timeouts = timeouts;
		this.configuration = configuration;
	}

	Result parse(HttpRequest head, long nowNanos) {
		Optional<ErrorResponse> syntaxError = checkSyntax(head);
		if (syntaxError.isPresent()) {
			return new Result.Refused(syntaxError.get());
		}
		int slash = head.uri().indexOf('/', 1);
		int query = head.uri().indexOf('?');
		if (slash < 0 || (query >= 0 && query < slash)) {
			return badRequest("path is \"" + shorten(head.uri()) + "\", expected /SERVICE/path");
		}
		String service = head.uri().substring(1, slash);
		String workspace = head.headers().get("X-Workspace", "");
		if (workspace.isEmpty()) {
			return badRequest("header X-Workspace is missing");
		}
		RuleSet rules = this.configuration.rules();
		if (this.configuration.revision() == 0) {
			return notRun(RefusalReason.REFUSED_UNAVAILABLE, "no rules are known yet");
		}
		if (!rules.servesWorkspace(service, workspace)) {
			boolean serviceKnown = rules.services().contains(service);
			return (serviceKnown)
					? notRun(RefusalReason.WORKSPACE_NOT_SERVED,
							"workspace " + shorten(workspace) + " is not served by " + service)
					: notRun(RefusalReason.UNKNOWN_SERVICE, "no rule names service " + shorten(service));
		}
		return parseHeaders(head, service, head.uri().substring(slash), workspace, rules, nowNanos);
	}

	private Result parseHeaders(HttpRequest head, String service, String path, String workspace, RuleSet rules,
			long nowNanos) {
		HttpHeaders headers = head.headers();
		String idempotencyKey = headers.get("Idempotency-Key", "");
		if (idempotencyKey.length() > MAX_KEY_LENGTH) {
			return badRequest("Idempotency-Key has " + idempotencyKey.length() + " characters, expected at most "
					+ MAX_KEY_LENGTH);
		}
		long timeoutMs = this.timeouts.requestMs();
		String timeoutText = headers.get("X-Request-Timeout-Ms");
		if (timeoutText != null) {
			try {
				timeoutMs = Long.parseLong(timeoutText);
			}
			catch (NumberFormatException ex) {
				timeoutMs = 0;
			}
			if (timeoutMs <= 0) {
				return badRequest(
						"X-Request-Timeout-Ms is \"" + shorten(timeoutText) + "\", expected a whole number above 0");
			}
		}
		Optional<org.baobabknot.rules.Priority> priority = org.baobabknot.rules.Priority
			.of(headers.get("X-Priority", "normal"));
		if (priority.isEmpty()) {
			return badRequest(
					"X-Priority is \"" + shorten(headers.get("X-Priority")) + "\", expected low, normal or high");
		}
		byte[] id = this.ids.next();
		boolean hasBody = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0;
		return new Result.Accepted(new CallerRequest(ByteString.copyFrom(id), HexFormat.of().formatHex(id), service,
				workspace, head.method().name(), path, headers,
				nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(timeoutMs, this.timeouts.maxRequestMs())),
				priority(priority.get().atMost(rules.priorityCeiling(workspace))),
				rules.idempotent(service, head.method().name(), path), idempotencyKey, hasBody));
	}

	private Optional<ErrorResponse> checkSyntax(HttpRequest head) {
		if (head.decoderResult().isFailure()) {
			return Optional.of(ErrorResponse.badRequest(status(head.decoderResult().cause()),
					shorten(String.valueOf(head.decoderResult().cause().getMessage()))));
		}
		if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
			return Optional
				.of(ErrorResponse.badRequest(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "expected HTTP/1.1"));
		}
		if (head.method().equals(HttpMethod.CONNECT) || head.method().equals(HttpMethod.TRACE)) {
			return Optional.of(ErrorResponse.badRequest(HttpResponseStatus.METHOD_NOT_ALLOWED,
					"method " + head.method() + " is not served"));
		}
		if (!head.uri().startsWith("/")) {
			return Optional
				.of(ErrorResponse.badRequest("path is \"" + shorten(head.uri()) + "\", expected a leading slash"));
		}
		if (HttpUtil.getContentLength(head, 0L) > this.http.maxBodyBytes()) {
			return Optional.of(bodyTooLong());
		}
		return Optional.empty();
	}

	ErrorResponse bodyTooLong() {
		return ErrorResponse.badRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
				"the body is larger than " + this.http.maxBodyBytes() + " bytes");
	}

	private static HttpResponseStatus status(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return HttpResponseStatus.REQUEST_URI_TOO_LONG;
		}
		return (cause instanceof TooLongHttpHeaderException) ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
				: HttpResponseStatus.BAD_REQUEST;
	}

	private static Priority priority(org.baobabknot.rules.Priority priority) {
		return switch (priority) {
			case LOW -> Priority.LOW;
			case NORMAL -> Priority.NORMAL;
			case HIGH -> Priority.HIGH;
		};
	}

	private static Result badRequest(String detail) {
		return new Result.Refused(ErrorResponse.badRequest(detail));
	}

	private static Result notRun(RefusalReason reason, String detail) {
		return new Result.Refused(ErrorResponse.notRun(reason, detail, 0));
	}

	private static String shorten(String text) {
		return (text.length() <= 80) ? text : text.substring(0, 80) + "...";
	}

	/**
	 * Result of parsing a head.
	 */
	sealed interface Result {

		/**
		 * The head is valid and the request may be sent to an agent.
		 *
		 * @param request the request
		 */
		record Accepted(CallerRequest request) implements Result {
		}

		/**
		 * The request is not sent to an agent.
		 *
		 * @param error error response for the caller
		 */
		record Refused(ErrorResponse error) implements Result {
		}

	}

}
