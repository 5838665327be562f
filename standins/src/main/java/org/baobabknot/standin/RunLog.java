package org.baobabknot.standin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Log of the requests that a target ran. The log is kept when the target is killed,
 * because tests check the guarantees with it.
 */
public final class RunLog {

	/**
	 * Maximum number of entries. Requests after these are only counted.
	 */
	private static final int MAX_ENTRIES = 500_000;

	private final String failureDomain;

	private final List<Entry> entries = new ArrayList<>();

	private long runs;

	private int maxRunningWhileCold;

	/**
	 * Creates an empty log.
	 * @param failureDomain the failure domain of the target
	 */
	public RunLog(String failureDomain) {
		this.failureDomain = failureDomain;
	}

	/**
	 * Adds a request that starts.
	 * @param entry the request
	 */
	public void add(Entry entry) {
		this.runs++;
		if (this.entries.size() < MAX_ENTRIES) {
			this.entries.add(entry);
		}
		if (entry.cold()) {
			this.maxRunningWhileCold = Math.max(this.maxRunningWhileCold, entry.running());
		}
	}

	/**
	 * Returns the entries.
	 * @return a copy
	 */
	public List<Entry> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * Returns the largest number of requests that ran at once while the target was cold,
	 * counted whenever a request starts.
	 * @return the number, 0 when no request started while the target was cold
	 */
	public int maxRunningWhileCold() {
		return this.maxRunningWhileCold;
	}

	/**
	 * Writes the log to a record.
	 * @param node the record
	 */
	public void write(ObjectNode node) {
		node.put("runs", this.runs);
		node.put("max_running_while_cold", this.maxRunningWhileCold);
		ArrayNode list = node.putArray("requests");
		for (Entry entry : this.entries) {
			list.addObject()
				.put("request_id", entry.requestId())
				.put("key", entry.idempotencyKey())
				.put("body_digest", entry.bodyDigest())
				.put("arrived_ms", entry.arrivalMillis())
				.put("at_ms", entry.startMillis())
				.put("version", entry.version())
				.put("digest", entry.digest())
				.put("incarnation", entry.incarnation())
				.put("failure_domain", this.failureDomain)
				.put("running", entry.running())
				.put("cold", entry.cold())
				.put("cold_ms", entry.coldMillis());
		}
	}

	/**
	 * One request that a target ran.
	 *
	 * @param requestId the request id, empty when none was sent
	 * @param idempotencyKey the idempotency key, empty when none was sent
	 * @param bodyDigest SHA-256 of the body
	 * @param arrivalMillis wall time in milliseconds at which the head of the request
	 * arrived; earlier than the start when the target was frozen or its batch was full
	 * @param startMillis wall time in milliseconds at which the request started
	 * @param version the version that ran the request, empty for a plain service
	 * @param digest digest of the weights that ran the request, empty for a plain service
	 * @param incarnation incarnation of the target
	 * @param running number of running requests, including this one
	 * @param cold whether the target was cold
	 * @param coldMillis time in milliseconds since the target last became cold
	 */
	public record Entry(String requestId, String idempotencyKey, String bodyDigest, long arrivalMillis,
			long startMillis, String version, String digest, long incarnation, int running, boolean cold,
			long coldMillis) {

	}

}
