package org.baobabknot.entry;

/**
 * How far a request of a caller has come. Confined to the caller's event loop.
 */
final class ExchangeProgress {

	private final long startNanos;

	private int attempts;

	private String agent = "";

	private long incarnation;

	private boolean responseStarted;

	private int status;

	private long length = -1;

	ExchangeProgress(long startNanos) {
		this.startNanos = startNanos;
	}

	void attemptStarted(String newAgent, long newIncarnation) {
		this.attempts++;
		this.agent = newAgent;
		this.incarnation = newIncarnation;
	}

	/**
	 * Records the head of the response that is passed on.
	 * @param newStatus its status
	 * @param newLength length of its body in bytes, -1 if unknown
	 */
	void responseStarted(int newStatus, long newLength) {
		this.responseStarted = true;
		this.status = newStatus;
		this.length = newLength;
	}

	boolean exceedsLength(long received) {
		return this.length >= 0 && received > this.length;
	}

	boolean isWhole(long received) {
		return this.responseStarted && (this.length < 0 || received == this.length);
	}

	/**
	 * Returns the monotonic time at which the head of the request was accepted.
	 * @return nanoseconds
	 */
	long startNanos() {
		return this.startNanos;
	}

	int attempts() {
		return this.attempts;
	}

	/**
	 * Returns the agent of the last attempt.
	 * @return its name, empty before the first attempt
	 */
	String agent() {
		return this.agent;
	}

	long incarnation() {
		return this.incarnation;
	}

	boolean responseStarted() {
		return this.responseStarted;
	}

	/**
	 * Returns the status of the response that was passed on.
	 * @return the status, 0 before its head
	 */
	int status() {
		return this.status;
	}

	long length() {
		return this.length;
	}

}
