package org.baobabknot.agent;

import org.baobabknot.admission.CloseReason;
import org.baobabknot.protocol.generated.RefusalReason;

/**
 * Why a request is refused as not run.
 *
 * @param reason the reason in messages
 * @param detail the reason in one line
 * @param retryAfterMillis time after which a new try is sensible, 0 when it is at once
 */
record Refusal(RefusalReason reason, String detail, int retryAfterMillis) {

	/**
	 * A full queue empties within some service times.
	 */
	private static final int FULL_RETRY_MILLIS = 200;

	private static final int CLOSED_RETRY_MILLIS = 500;

	static Refusal of(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, 0);
	}

	static Refusal full(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, FULL_RETRY_MILLIS);
	}

	static Refusal closed(CloseReason closed) {
		RefusalReason reason = switch (closed) {
			case SWITCHING -> RefusalReason.REFUSED_SWITCHING;
			case LEAVING -> RefusalReason.REFUSED_LEAVING;
			case UNAVAILABLE -> RefusalReason.REFUSED_UNAVAILABLE;
			case DOMAIN_OUT -> RefusalReason.REFUSED_DOMAIN_OUT;
		};
		return new Refusal(reason, "admission is closed", CLOSED_RETRY_MILLIS);
	}

}
