package org.baobabknot.quarantine;

/**
 * What is known about the traits of a request, from harmless to harmful. The verdict on a
 * request is that on its worst trait.
 */
public enum RequestVerdict {

	/** All traits were served recently. */
	SERVED {
		@Override
		public boolean mayRun() {
			return true;
		}

		@Override
		public boolean needsTrial() {
			return false;
		}
	},

	/** Some trait was not served recently, and none is suspected. */
	UNKNOWN {
		@Override
		public boolean mayRun() {
			return true;
		}

		@Override
		public boolean needsTrial() {
			return false;
		}
	},

	/**
	 * Some trait was in a crash, or in several, but not together with all traits that
	 * were in the same crashes, or its quarantine has ended. One request with it runs at
	 * a time in the fleet, so that the next one decides and no more than one target
	 * crashes.
	 */
	SUSPECTED {
		@Override
		public boolean mayRun() {
			return true;
		}

		@Override
		public boolean needsTrial() {
			return true;
		}
	},

	/**
	 * The request has everything that was in several crashes and in no whole response
	 * since.
	 */
	QUARANTINED {
		@Override
		public boolean mayRun() {
			return false;
		}

		@Override
		public boolean needsTrial() {
			return false;
		}
	};

	/**
	 * Returns whether a request may be sent to a target.
	 * @return false if it is held back
	 */
	public abstract boolean mayRun();

	/**
	 * Returns whether no other request with the same suspected traits may run at the same
	 * time.
	 * @return whether the request has to claim its trial
	 */
	public abstract boolean needsTrial();

	RequestVerdict worse(RequestVerdict other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
