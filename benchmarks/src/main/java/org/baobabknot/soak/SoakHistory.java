package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.baobabknot.emulator.EmulatedEngine;

/**
 * What callers and targets have seen, and when gateways were disturbed.
 */
final class SoakHistory {

	private final Queue<SoakRequest> requests = new ConcurrentLinkedQueue<>();

	private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

	private final Queue<SoakViolation> violations = new ConcurrentLinkedQueue<>();

	private final List<EmulatedEngine> engines = new ArrayList<>();

	void add(SoakRequest request) {
		this.requests.add(request);
	}

	void add(Disturbance disturbance) {
		this.disturbances.add(disturbance);
	}

	void addViolation(SoakViolation violation) {
		this.violations.add(violation);
	}

	synchronized void add(EmulatedEngine engine) {
		this.engines.add(engine);
	}

	List<SoakRequest> requests() {
		return List.copyOf(this.requests);
	}

	List<Disturbance> disturbances() {
		return List.copyOf(this.disturbances);
	}

	/**
	 * Returns whether a gateway was disturbed.
	 * @param gateway number of the gateway
	 * @param fromNanos begin
	 * @param toNanos end
	 * @param planned whether stops with SIGTERM count
	 * @return whether a disturbance overlaps that time
	 */
	boolean disturbed(int gateway, long fromNanos, long toNanos, boolean planned) {
		return this.disturbances.stream()
			.anyMatch((each) -> (planned || !each.planned()) && each.overlaps(gateway, fromNanos, toNanos));
	}

	/**
	 * Returns the violations that callers saw at once.
	 * @return the violations
	 */
	List<SoakViolation> violations() {
		return List.copyOf(this.violations);
	}

	synchronized List<EmulatedEngine> engines() {
		return List.copyOf(this.engines);
	}

	/**
	 * A time in which a gateway was stopped, killed or paused, until it was ready again.
	 *
	 * @param gateway number of the gateway
	 * @param fromNanos begin
	 * @param toNanos end
	 * @param planned whether it was stopped with SIGTERM
	 */
	record Disturbance(int gateway, long fromNanos, long toNanos, boolean planned) {

		boolean overlaps(int otherGateway, long from, long to) {
			return this.gateway == otherGateway && this.fromNanos <= to && this.toNanos >= from;
		}

	}

}
