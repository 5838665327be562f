package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Locale;
import java.util.Set;

/**
 * The kinds of faults that the experiment injects.
 */
enum FaultKind {

	ENTRY_KILL((site) -> ProcessFaults.kill(site, site.chooseEntry())),

	AGENT_KILL((site) -> ProcessFaults.kill(site, site.chooseAgent())),

	ENTRY_PAUSE((site) -> ProcessFaults.pause(site, site.chooseEntry())),

	AGENT_PAUSE((site) -> ProcessFaults.pause(site, site.chooseAgent())),

	ENTRY_TERM((site) -> ProcessFaults.terminateEntry(site, site.chooseEntry())),

	AGENT_TERM((site) -> ProcessFaults.drain(site, site.chooseAgent(), false)),

	TARGET_DRAIN((site) -> ProcessFaults.drain(site, site.chooseAgent(), true)),

	ENGINE_KILL((site) -> StandinFaults.injectTargetFault(site, site.chooseEngine(), "kill")),

	ENGINE_COLD((site) -> StandinFaults.injectTargetFault(site, site.chooseEngine(), "cold")),

	ENGINE_RESTART((site) -> StandinFaults.injectTargetFault(site, site.chooseEngine(), "cold", "drop")),

	ENGINE_FREEZE((site) -> StandinFaults.injectTargetFault(site, site.chooseEngine(), "freeze")),

	ORDER_TARGET_KILL((site) -> StandinFaults.injectTargetFault(site, site.chooseOrderTarget(), "kill")),

	ORDER_TARGET_FREEZE((site) -> StandinFaults.injectTargetFault(site, site.chooseOrderTarget(), "freeze")),

	ORDER_ANSWER_LOST((site) -> StandinFaults.injectLimitedFault(site, site.chooseOrderTarget(), "lost_answer", 3)),

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

	private final FaultStarter starter;

	FaultKind(FaultStarter start) {
		this.starter = start;
	}

	/**
	 * Starts the fault.
	 * @param site the fleet and its state
	 * @return the active fault
	 * @throws IOException when the fleet cannot be reached
	 * @throws InterruptedException when interrupted
	 */
	ActiveFault begin(FaultSite site) throws IOException, InterruptedException {
		return this.starter.begin(site);
	}

	/**
	 * Returns whether this fault pauses, ends or restarts an entry or an agent.
	 * @return whether the process itself is affected
	 */
	boolean isProcessFault() {
		return name().startsWith("ENTRY_") || name().startsWith("AGENT_") || this == TARGET_DRAIN;
	}

	/**
	 * Returns whether the fleet recovers from this fault only by distributing weights.
	 * @return whether recovery needs the distribution of weights
	 */
	boolean needsWeightDistribution() {
		return this == MODEL_NEW || this == MODEL_REPLACED || this == CHUNKS_CORRUPT || this == ENGINE_KILL;
	}

	boolean isStoreFault() {
		return name().startsWith("STORE_");
	}

	boolean isLinkFault() {
		return name().startsWith("LINK_");
	}

	@Override
	public String toString() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Starts a fault.
	 */
	@FunctionalInterface
	interface FaultStarter {

		ActiveFault begin(FaultSite site) throws IOException, InterruptedException;

	}

	/**
	 * Ends a fault.
	 */
	@FunctionalInterface
	interface FaultEnder {

		void end() throws IOException, InterruptedException;

	}

	/**
	 * An active fault.
	 *
	 * @param subjects the instances and failure domains affected, empty for all
	 * @param ender ends the fault
	 */
	record ActiveFault(Set<String> subjects, FaultEnder ender) {

	}

}
