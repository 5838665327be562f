package org.baobabknot.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.Call;

/**
 * One completion request in an engine and its progress.
 */
final class EngineRequest {

	private final Call call;

	private final String requestId;

	private final String prompt;

	private final int maxTokens;

	private final boolean streaming;

	private final int priorityRank;

	private final String idempotencyKey;

	private final String bodyDigest;

	private long seed;

	private int generatedTokens;

	private double remainingPrefillMillis;

	EngineRequest(Call call, ObjectNode body, String bodyDigest) {
		this.call = call;
		this.bodyDigest = bodyDigest;
		this.idempotencyKey = call.header("Idempotency-Key").orElse("");
		this.requestId = call.header("X-Request-Id").orElseGet(() -> body.path("request_id").asText(""));
		this.prompt = body.path("prompt").asText("");
		this.maxTokens = body.path("max_tokens").asInt(16);
		this.streaming = body.path("stream").asBoolean(false);
		this.priorityRank = switch (body.path("priority").asText("normal")) {
			case "high" -> 0;
			case "low" -> 2;
			default -> 1;
		};
		if (this.maxTokens < 1) {
			throw new IllegalArgumentException("max_tokens: expected a number above 0");
		}
	}

	void start(String digest, double prefillMillis) {
		this.seed = CompletionText.seed(digest, this.prompt);
		this.remainingPrefillMillis = prefillMillis;
	}

	/**
	 * Generates the next token unless the prefill of the prompt is still in progress.
	 * @param stepMillis duration of this step in milliseconds
	 * @return the token, or an empty string during prefill
	 */
	String nextToken(double stepMillis) {
		if (this.remainingPrefillMillis > 0) {
			this.remainingPrefillMillis -= stepMillis;
			return "";
		}
		return CompletionText.token(this.seed, this.generatedTokens++);
	}

	boolean isFinished() {
		return this.generatedTokens >= this.maxTokens;
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

	int generatedTokens() {
		return this.generatedTokens;
	}

	boolean isStreaming() {
		return this.streaming;
	}

	int priorityRank() {
		return this.priorityRank;
	}

	String idempotencyKey() {
		return this.idempotencyKey;
	}

	String bodyDigest() {
		return this.bodyDigest;
	}

}
