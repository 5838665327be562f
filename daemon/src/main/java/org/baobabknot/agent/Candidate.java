package org.baobabknot.agent;

import org.baobabknot.admission.AdmissionDecision;

/**
 * A request that waits for admission. Exactly one of the methods is called, on any
 * thread, unless the request is removed from the queue before.
 */
interface Candidate {

	/**
	 * The request may be handed to the target. It counts as running until
	 * {@link Admission#finished}.
	 * @param decision the decision
	 */
	void admitted(AdmissionDecision.Admitted decision);

	/**
	 * The request is not handed to the target.
	 * @param refusal why
	 */
	void refused(Refusal refusal);

}
