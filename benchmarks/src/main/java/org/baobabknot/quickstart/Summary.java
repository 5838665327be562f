package org.baobabknot.quickstart;

import java.util.List;
import java.util.Locale;

/**
 * Results of the demonstration, printed as four lines.
 *
 * @param requests completions
 * @param orders orders
 * @param model the rollout
 * @param domain the outage of a failure domain
 */
record Summary(Requests requests, Orders orders, Model model, Domain domain) {

	List<String> lines() {
		return List.of(
				"requests: %d sent, %d whole, %d refused, %d wrong, %d lost".formatted(this.requests.sent(),
						this.requests.whole(), this.requests.refused(), this.requests.wrong(), this.requests.lost()),
				"orders: %d sent, %d run, %d doubled, %d lost".formatted(this.orders.sent(), this.orders.run(),
						this.orders.doubled(), this.orders.lost()),
				String.format(Locale.ROOT, "model: %s on %d/%d replicas in %.1f s, %.2f copies from the origin",
						this.model.version(), this.model.replicas(), this.model.totalReplicas(), this.model.seconds(),
						this.model.copies()),
				String.format(Locale.ROOT, "domain: out in %.1f s, back in %.1f s, %d late requests",
						this.domain.outSeconds(), this.domain.backSeconds(), this.domain.lateRequests()));
	}

	/**
	 * Returns whether the run was successful.
	 * @return true when nothing was wrong, lost, doubled or late, every replica runs the
	 * model and the failure domain came back
	 */
	boolean isSuccessful() {
		boolean requestsSuccessful = this.requests.whole() > 0 && this.requests.wrong() == 0
				&& this.requests.lost() == 0;
		boolean ordersSuccessful = this.orders.run() > 0 && this.orders.doubled() == 0 && this.orders.lost() == 0;
		boolean modelComplete = this.model.totalReplicas() > 0 && this.model.replicas() == this.model.totalReplicas();
		return requestsSuccessful && ordersSuccessful && modelComplete && this.domain.lateRequests() == 0
				&& this.domain.backSeconds() >= 0;
	}

	/**
	 * Completions.
	 *
	 * @param sent requests sent
	 * @param whole complete and correct responses
	 * @param refused refused as not run
	 * @param wrong complete responses with wrong content
	 * @param lost requests with an incomplete response, an error status or an unknown
	 * outcome
	 */
	record Requests(int sent, int whole, int refused, int wrong, int lost) {
	}

	/**
	 * Orders.
	 *
	 * @param sent orders, each counted once
	 * @param run orders recorded in the targets' ledgers, each counted once
	 * @param doubled orders recorded in the ledgers more than once, or recorded although
	 * an order without a key was refused as not run
	 * @param lost orders that were acknowledged but are not in the ledgers, or whose
	 * outcome is unknown
	 */
	record Orders(int sent, int run, int doubled, int lost) {
	}

	/**
	 * Rollout.
	 *
	 * @param version the new version
	 * @param replicas replicas that run the new version
	 * @param totalReplicas number of all replicas of the model service
	 * @param seconds time from acceptance of the rule to the last replica
	 * @param copies bytes fetched from the origin, in copies of the model
	 */
	record Model(String version, int replicas, int totalReplicas, double seconds, double copies) {
	}

	/**
	 * Failure domain.
	 *
	 * @param outSeconds time from acceptance to the last request begun in the domain
	 * @param backSeconds time from acceptance to the first request begun in the domain,
	 * negative when there was none
	 * @param lateRequests requests begun in the domain more than 3 s after acceptance
	 */
	record Domain(double outSeconds, double backSeconds, long lateRequests) {
	}

}
