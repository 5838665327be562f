package org.baobabknot.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.Call;

/**
 * One request in an engine.
 */
final class Run {

	private final Call call;

	private final String requestId;

	private final String prompt;

	private final int maxTokens;

	private final boolean stream;

	private final int rank;

	private final String key;

	private final String bodyDigest;

	private long seed;

	private int tokens;

	private double prefillLeftMillis;

	Run(Call call, ObjectNode body, String bodyDigest) {
		this.call = call;
		this.bodyDigest = bodyDigest;
		this.key = call.header("Idempotency-Key").orElse("");
		this.requestId = call.header("X-Request-Id").orElseGet(() -> body.path("request_id").asText(""));
		this.prompt = body.path("prompt").asText("");
		this.maxTokens = body.path("max_tokens").asInt(16);
		this.stream = body.path("stream").asBoolean(false);
		this.rank = switch (body.path("priority").asText("normal")) {
			case "high" -> 0;
			case "low" -> 2;
			default -> 1;
		};
		if (this.maxTokens < 1) {
			throw new IllegalArgumentException("max_tokens: expected a number above 0");
		}
	}

	void begin(String digest, double prefillMillis) {
		this.seed = CompletionText.seed(digest, this.prompt);
		this.prefillLeftMillis = prefillMillis;
	}

	/**
	 * Makes the next token unless the prompt is still being read.
	 * @param millis time of this step
	 * @return the token, or an empty text
	 */
	String step(double millis) {
		if (this.prefillLeftMillis > 0) {
			this.prefillLeftMillis -= millis;
			return "";
		}
		return CompletionText.token(this.seed, this.tokens++);
	}

	boolean finished() {
		return this.tokens >= this.maxTokens;
	}

	Call call() {
		return this.call;
	}

	String requestId() {
		return this.requestId;
	}

	String prompt() {
		return this.prompt;
	}

	int maxTokens() {
		return this.maxTokens;
	}

	int tokens() {
		return this.tokens;
	}

	boolean stream() {
		return this.stream;
	}

	int rank() {
		return this.rank;
	}

	String key() {
		return this.key;
	}

	String bodyDigest() {
		return this.bodyDigest;
	}

}
