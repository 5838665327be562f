package org.baobabknot.fleet;

/**
 * How fast the engines of a service work, as stated by the operators.
 *
 * @param stepMs time of one token step, in ms
 * @param stepMsPerRequest additional time of a step for each request that writes, in ms
 * @param contextMsPerThousand additional time of a step for each 1,000 tokens of context,
 * in ms
 * @param promptTokensPerMs prompt tokens that are read in 1 ms
 * @param stepsPerEvent token steps between two events
 * @param promptTokens usual number of prompt tokens
 * @param responseTokens usual number of answer tokens
 */
public record EngineSpeed(double stepMs, double stepMsPerRequest, double contextMsPerThousand, double promptTokensPerMs,
		int stepsPerEvent, double promptTokens, double responseTokens) {

	/**
	 * Estimates how long a request occupies a slot of an engine that is full.
	 * @param slots slots of the engine
	 * @param requestPromptTokens prompt tokens of the request, negative if not known
	 * @param requestResponseTokens answer tokens of the request, negative if not known
	 * @return time in ms
	 */
	public double occupancyMs(int slots, double requestPromptTokens, double requestResponseTokens) {
		double readTokens = (requestPromptTokens >= 0) ? requestPromptTokens : this.promptTokens;
		double writtenTokens = (requestResponseTokens >= 0) ? requestResponseTokens : this.responseTokens;
		double contextMs = slots * (this.promptTokens + this.responseTokens / 2) / 1000 * this.contextMsPerThousand;
		double fullStepMs = this.stepMs + slots * this.stepMsPerRequest + contextMs;
		// Prompts of other requests are read between the steps.
		double promptReadMs = this.promptTokens / this.promptTokensPerMs;
		double promptsRead = slots * writtenTokens / Math.max(1, this.responseTokens);
		return readTokens / this.promptTokensPerMs + writtenTokens * fullStepMs + promptsRead * promptReadMs;
	}

}
