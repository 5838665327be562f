package org.baobabknot.limit;

/**
 * The limit that one start of a target states at present, from responses that may arrive
 * in another order than the target has sent them. A lower limit holds as soon as it is
 * known. A higher one, or none, needs a response to a request that was sent after the
 * lower one was known: only then the target has certainly stated it later. Confined to
 * one thread.
 */
public final class StatedLimit {

	private double ratePerSecond = LimitStatement.UNLIMITED;

	private long sentNanos;

	private long receivedNanos;

	private boolean known;

	/**
	 * Takes a statement into account.
	 * @param statement the statement
	 * @return whether the limit has changed
	 */
	public boolean merge(LimitStatement statement) {
		if (!this.known && statement.ratePerSecond() == LimitStatement.UNLIMITED) {
			return false;
		}
		if (this.known && !supersedes(statement)) {
			return false;
		}
		boolean changed = statement.ratePerSecond() != this.ratePerSecond;
		this.ratePerSecond = statement.ratePerSecond();
		this.sentNanos = statement.sentNanos();
		this.receivedNanos = statement.receivedNanos();
		this.known = true;
		return changed;
	}

	private boolean supersedes(LimitStatement statement) {
		return (statement.ratePerSecond() > this.ratePerSecond) ? statement.sentNanos() - this.receivedNanos > 0
				: statement.receivedNanos() - this.receivedNanos >= 0;
	}

	/**
	 * Returns whether the target has stated a limit that holds.
	 * @return false if it takes any number of requests
	 */
	public boolean limited() {
		return this.ratePerSecond != LimitStatement.UNLIMITED;
	}

	/**
	 * Returns the limit.
	 * @return requests per second from all processes together, infinite for none
	 */
	public double ratePerSecond() {
		return this.ratePerSecond;
	}

	/**
	 * Returns the statement that holds.
	 * @return the newest statement; one without a limit if the target has stated none
	 */
	public LimitStatement statement() {
		return new LimitStatement(this.ratePerSecond, this.sentNanos, this.receivedNanos);
	}

}
