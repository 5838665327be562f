package org.baobabknot.quarantine;

/**
 * What is known about the parts of a prompt, from harmless to harmful. The verdict of a
 * prompt is that of its worst part.
 */
public enum PromptVerdict {

	/** All parts were served recently. */
	SERVED {
		@Override
		public boolean mayStart(boolean anotherInFlight) {
			return true;
		}

		@Override
		public boolean mayRetryAfterCrash() {
			return true;
		}
	},

	/** Some part was neither served recently nor in a crash. */
	UNKNOWN {
		@Override
		public boolean mayStart(boolean anotherInFlight) {
			return true;
		}

		@Override
		public boolean mayRetryAfterCrash() {
			return false;
		}
	},

	/**
	 * Some part was in one crash, or its quarantine has ended. Requests with it are sent
	 * one at a time, so that the next one decides and no more than one target crashes.
	 */
	SUSPECTED {
		@Override
		public boolean mayStart(boolean anotherInFlight) {
			return !anotherInFlight;
		}

		@Override
		public boolean mayRetryAfterCrash() {
			return false;
		}
	},

	/** Some part was in several crashes and in no response since. */
	QUARANTINED {
		@Override
		public boolean mayStart(boolean anotherInFlight) {
			return false;
		}

		@Override
		public boolean mayRetryAfterCrash() {
			return false;
		}
	};

	/**
	 * Returns whether a request may be sent to a target.
	 * @param anotherInFlight whether this process has sent another request with the worst
	 * part, on which no target has begun to write
	 * @return whether it may be sent
	 */
	public abstract boolean mayStart(boolean anotherInFlight);

	/**
	 * Returns whether a request on which a target crashed before it began to write may be
	 * sent to another target.
	 * @return whether it can't be the cause of the crash
	 */
	public abstract boolean mayRetryAfterCrash();

	PromptVerdict worse(PromptVerdict other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
