package org.baobabknot.agent;

import org.baobabknot.admission.CloseReason;
import org.baobabknot.protocol.generated.RefusalReason;

/**
 * Refusal of a request that has not run.
 *
 * @param reason reason code in messages
 * @param detail description of the reason in one line
 * @param retryAfterMs delay in milliseconds before a retry, 0 for none
 */
record Refusal(RefusalReason reason, String detail, int retryAfterMs) {

	/**
	 * A full queue has free places again after a few service times.
	 */
	private static final int QUEUE_FULL_RETRY_MS = 200;

	private static final int ADMISSION_CLOSED_RETRY_MS = 500;

	static Refusal of(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, 0);
	}

	static Refusal retryLater(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, QUEUE_FULL_RETRY_MS);
	}

	static Refusal admissionClosed(CloseReason closeReason) {
		RefusalReason reason = switch (closeReason) {
			case SWITCHING -> RefusalReason.REFUSED_SWITCHING;
			case LEAVING -> RefusalReason.REFUSED_LEAVING;
			case UNAVAILABLE -> RefusalReason.REFUSED_UNAVAILABLE;
			case DOMAIN_OUT -> RefusalReason.REFUSED_DOMAIN_OUT;
		};
		return new Refusal(reason, "admission is closed", ADMISSION_CLOSED_RETRY_MS);
	}

}
