package org.baobabknot.admission;

/**
 * Priority of a request.
 */
public enum QueuePriority {

	/**
	 * Served before the others.
	 */
	HIGH(12),

	/**
	 * The default.
	 */
	NORMAL(3),

	/**
	 * Served last.
	 */
	LOW(1);

	private final int share;

	QueuePriority(int share) {
		this.share = share;
	}

	/**
	 * Returns the share of the polls while every priority has queued requests. Each share
	 * is above zero, so that low priorities are not starved.
	 * @return the share, relative to the other priorities
	 */
	int share() {
		return this.share;
	}

}
