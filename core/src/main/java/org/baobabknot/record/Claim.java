package org.baobabknot.record;

/**
 * Durable statement that one agent may hand the request with a key to its target.
 *
 * @param key hash of service, workspace and idempotency key
 * @param instance instance name of the agent, without blanks
 * @param incarnation incarnation of the agent
 * @param sequence number of the claim among all of the incarnation; tells a renewed claim
 * from the one before
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
