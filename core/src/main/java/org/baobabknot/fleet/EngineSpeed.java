package org.baobabknot.fleet;

/**
 * Speed of the engines of a service, as configured by the operators.
 *
 * @param stepMs duration of one token step, in ms
 * @param stepMsPerRequest additional duration of a step for each request that generates
 * tokens, in ms
 * @param contextMsPerThousand additional duration of a step for each 1,000 tokens of
 * context, in ms
 * @param promptTokensPerMs prompt tokens processed per ms
 * @param stepsPerEvent token steps between two events
 * @param promptTokens typical number of prompt tokens of a request
 * @param responseTokens typical number of generated tokens of a request
 */
public record EngineSpeed(double stepMs, double stepMsPerRequest, double contextMsPerThousand, double promptTokensPerMs,
		int stepsPerEvent, double promptTokens, double responseTokens) {

	/**
	 * Estimates how long a request occupies a slot of an engine that is full.
	 * @param slots slots of the engine
	 * @param requestPromptTokens prompt tokens of the request, negative if not known, for
	 * which the typical number is used
	 * @param requestResponseTokens generated tokens of the request, negative if not
	 * known, for which the typical number is used
	 * @return time in ms
	 */
	public double occupancyMs(int slots, double requestPromptTokens, double requestResponseTokens) {
		double readTokens = (requestPromptTokens >= 0) ? requestPromptTokens : this.promptTokens;
		double writtenTokens = (requestResponseTokens >= 0) ? requestResponseTokens : this.responseTokens;
		double contextMs = slots * (this.promptTokens + this.responseTokens / 2) / 1000 * this.contextMsPerThousand;
		double fullStepMs = this.stepMs + slots * this.stepMsPerRequest + contextMs;
		// Prompts of other requests are processed between the steps.
		double promptReadMs = this.promptTokens / this.promptTokensPerMs;
		double promptsRead = slots * writtenTokens / Math.max(1, this.responseTokens);
		return readTokens / this.promptTokensPerMs + writtenTokens * fullStepMs + promptsRead * promptReadMs;
	}

}
