package org.baobabknot.gateway;

/**
 * Why an attempt has certainly not run at its target.
 */
enum NotRunCause {

	/** The target refused it. */
	TARGET_REFUSED {
		@Override
		boolean reachesTarget() {
			return true;
		}

		@Override
		boolean costsTarget() {
			return true;
		}
	},

	/** The target takes the request for faulty, although another one has begun it. */
	REMAINDER_REFUSED {
		@Override
		boolean reachesTarget() {
			return false;
		}

		@Override
		boolean costsTarget() {
			return true;
		}

		@Override
		boolean showsFault() {
			return false;
		}
	},

	/** Another target has its address, or it was not sent for want of a connection. */
	NOT_DELIVERED {
		@Override
		boolean reachesTarget() {
			return false;
		}

		@Override
		boolean costsTarget() {
			return true;
		}
	},

	/** It was withdrawn before it was sent, because of what the target has stated. */
	WITHDRAWN {
		@Override
		boolean reachesTarget() {
			return false;
		}

		@Override
		boolean costsTarget() {
			return false;
		}

		@Override
		boolean showsFault() {
			return false;
		}
	},

	/** Nothing runs at the address of the target, which costs a few ms and no target. */
	CONNECTION_REFUSED {
		@Override
		boolean reachesTarget() {
			return false;
		}

		@Override
		boolean costsTarget() {
			return false;
		}
	};

	/**
	 * Returns whether the intended target refused for want of room.
	 * @return whether its load is known from the refusal
	 */
	abstract boolean reachesTarget();

	/**
	 * Returns whether a further attempt draws on the budget for retries.
	 * @return whether the attempt may have cost some target work
	 */
	abstract boolean costsTarget();

	/**
	 * Returns whether the target can't be reached at its address.
	 * @return whether it is avoided for some time
	 */
	boolean showsFault() {
		return !reachesTarget();
	}

}
