package org.baobabknot.agent;

import org.baobabknot.admission.Decision;

/**
 * A request that waits for admission. Exactly one of the methods is called, on any
 * thread, unless the request is removed from the queue before.
 */
interface AdmissionListener {

	/**
	 * The request may be handed to the target. It counts as running until
	 * {@link Admission#finish}.
	 * @param decision the decision
	 */
	void onAdmitted(Decision.Admitted decision);

	/**
	 * The request is not handed to the target.
	 * @param refusal why
	 */
	void onRefused(Refusal refusal);

}
