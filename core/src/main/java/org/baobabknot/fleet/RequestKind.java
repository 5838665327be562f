package org.baobabknot.fleet;

/**
 * Kind of the requests of a route, which determines whether they may run more than once.
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}
	},
	/** Runs at most once. */
	ONCE {
		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}
	},
	/** The response is a stream of numbered events. */
	STREAM {
		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Returns whether a request that may have run can be sent again.
	 * @param resumable whether the route allows streams to be resumed after an event
	 * @return true if a second run does no harm
	 */
	public abstract boolean repeatable(boolean resumable);

}
