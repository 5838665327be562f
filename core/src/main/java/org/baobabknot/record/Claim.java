package org.baobabknot.record;

/**
 * Entry in the store that reserves an idempotency key for one agent: only this agent may
 * hand a request with the key to its target.
 *
 * @param key hash of service, workspace and idempotency key
 * @param instance instance name of the agent, without spaces
 * @param incarnation incarnation of the agent
 * @param sequence number of the claim among all claims of the incarnation; distinguishes
 * a renewed claim from the previous one
 * @param startSeconds wall-clock time of the claim, in seconds since 1970
 */
public record Claim(Hash128 key, String instance, long incarnation, long sequence, long startSeconds) {

	boolean isExpired(long nowSeconds, long retentionSeconds) {
		return nowSeconds - this.startSeconds >= retentionSeconds;
	}

	boolean isFrom(String agent, long agentIncarnation) {
		return this.incarnation == agentIncarnation && this.instance.equals(agent);
	}

}
