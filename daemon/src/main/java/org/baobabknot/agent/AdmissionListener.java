package org.baobabknot.agent;

import org.baobabknot.admission.AdmissionDecision;

/**
 * Receives the decision on a queued request. Exactly one of the methods is called, on any
 * thread, unless the request is removed from the queue before.
 */
interface AdmissionListener {

	/**
	 * Called when the request may be sent to the target. It counts as running until
	 * {@link TargetAdmission#finish} is called.
	 * @param decision the decision, needed to end the request
	 */
	void onAdmitted(AdmissionDecision.Admitted decision);

	/**
	 * Called when the request will not be sent to the target.
	 * @param refusal reason of the refusal
	 */
	void onRefused(Refusal refusal);

}
