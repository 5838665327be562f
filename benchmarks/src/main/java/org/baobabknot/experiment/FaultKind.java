package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Locale;
import java.util.Set;

/**
 * The faults of the experiment.
 */
enum FaultKind {

	ENTRY_KILL((site) -> ProcessFaults.kill(site, site.entry())),

	AGENT_KILL((site) -> ProcessFaults.kill(site, site.agent())),

	ENTRY_PAUSE((site) -> ProcessFaults.pause(site, site.entry())),

	AGENT_PAUSE((site) -> ProcessFaults.pause(site, site.agent())),

	ENTRY_TERM((site) -> ProcessFaults.terminateEntry(site, site.entry())),

	AGENT_TERM((site) -> ProcessFaults.drain(site, site.agent(), false)),

	TARGET_DRAIN((site) -> ProcessFaults.drain(site, site.agent(), true)),

	ENGINE_KILL((site) -> StandinFaults.injectTargetFault(site, site.engine(), "kill")),

	ENGINE_COLD((site) -> StandinFaults.injectTargetFault(site, site.engine(), "cold")),

	ENGINE_RESTART((site) -> StandinFaults.injectTargetFault(site, site.engine(), "cold", "drop")),

	ENGINE_FREEZE((site) -> StandinFaults.injectTargetFault(site, site.engine(), "freeze")),

	ORDER_TARGET_KILL((site) -> StandinFaults.injectTargetFault(site, site.orderTarget(), "kill")),

	ORDER_TARGET_FREEZE((site) -> StandinFaults.injectTargetFault(site, site.orderTarget(), "freeze")),

	ORDER_ANSWER_LOST((site) -> StandinFaults.injectLimitedFault(site, site.orderTarget(), "lost_answer", 3)),

	LINK_CUT((site) -> StandinFaults.injectLinkFault(site, "cut")),

	LINK_SILENT((site) -> StandinFaults.injectLinkFault(site, "silent")),

	LINK_STALL((site) -> StandinFaults.injectLinkFault(site, "stall")),

	STORE_OUTAGE((site) -> StandinFaults.injectPlatformFault(site, FleetPlan.STORE, "outage", 0)),

	STORE_SLOW((site) -> StandinFaults.injectPlatformFault(site, FleetPlan.STORE, "slow", 400)),

	STORE_ANSWER_LOST((site) -> StandinFaults.injectLimitedFault(site, FleetPlan.STORE, "lost_answer", 3)),

	STORE_WATCH_SILENT((site) -> StandinFaults.injectPlatformFault(site, FleetPlan.STORE, "silent_watch", 0)),

	MEMBERS_LAG((site) -> StandinFaults.injectPlatformFault(site, FleetPlan.MEMBERS, "lag", 6_000)),

	MEMBERS_OUTAGE((site) -> StandinFaults.injectPlatformFault(site, FleetPlan.MEMBERS, "outage", 0)),

	CHUNKS_CORRUPT(RuleFaults::corruptChunks),

	MODEL_NEW(RuleFaults::newModel),

	MODEL_REPLACED(RuleFaults::replacedModel),

	DOMAIN_OUT(RuleFaults::takeDomainOut),

	OPERATORS_RACE(RuleFaults::operatorsRace);

	private final Start start;

	FaultKind(Start start) {
		this.start = start;
	}

	/**
	 * Begins the fault.
	 * @param site the fleet and its state
	 * @return the fault in force
	 * @throws IOException when the fleet cannot be reached
	 * @throws InterruptedException when interrupted
	 */
	InForce begin(FaultSite site) throws IOException, InterruptedException {
		return this.start.begin(site);
	}

	/**
	 * Tells whether a process is stopped, ended or started by this fault.
	 * @return whether the process itself is concerned
	 */
	boolean ofProcess() {
		return name().startsWith("ENTRY_") || name().startsWith("AGENT_") || this == TARGET_DRAIN;
	}

	/**
	 * Tells whether the fleet recovers from this fault only by distributing weights.
	 * @return whether it concerns the distribution
	 */
	boolean needsDistribution() {
		return this == MODEL_NEW || this == MODEL_REPLACED || this == CHUNKS_CORRUPT || this == ENGINE_KILL;
	}

	boolean ofStore() {
		return name().startsWith("STORE_");
	}

	boolean ofLink() {
		return name().startsWith("LINK_");
	}

	@Override
	public String toString() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Begins a fault.
	 */
	@FunctionalInterface
	interface Start {

		InForce begin(FaultSite site) throws IOException, InterruptedException;

	}

	/**
	 * Ends a fault.
	 */
	@FunctionalInterface
	interface Ending {

		void end() throws IOException, InterruptedException;

	}

	/**
	 * A fault in force.
	 *
	 * @param subjects the instances and failure domains concerned, empty for all
	 * @param ending ends the fault
	 */
	record InForce(Set<String> subjects, Ending ending) {

	}

}
