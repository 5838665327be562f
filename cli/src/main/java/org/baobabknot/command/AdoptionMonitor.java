package org.baobabknot.command;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.baobabknot.protocol.generated.Member;

/**
 * Determines which processes of the member list have adopted a revision of the rules. The
 * status of a process that has confirmed the revision is not requested again.
 */
final class AdoptionMonitor {

	private final FleetClient fleet;

	private final long revision;

	private final List<Member> members;

	private final Set<String> confirmed = new HashSet<>();

	AdoptionMonitor(FleetClient fleet, long revision) throws CommandFailure {
		this.fleet = fleet;
		this.revision = revision;
		this.members = fleet.members();
	}

	/**
	 * Requests the status of the processes that have not confirmed the revision yet.
	 * @return processes that have not adopted the revision or do not respond
	 */
	List<Member> findLagging() {
		List<Member> unconfirmed = this.members.stream()
			.filter((member) -> !this.confirmed.contains(member.getInstance()))
			.toList();
		List<Member> lagging = new ArrayList<>();
		for (FleetClient.MemberStatus memberStatus : this.fleet.statuses(unconfirmed)) {
			if (memberStatus.status().isPresent() && memberStatus.status().get().getRulesRevision() >= this.revision) {
				this.confirmed.add(memberStatus.member().getInstance());
			}
			else {
				lagging.add(memberStatus.member());
			}
		}
		return lagging;
	}

	int processCount() {
		return this.members.size();
	}

	String progress() {
		return "revision " + this.revision + " in force on " + this.confirmed.size() + " of " + this.members.size()
				+ " processes";
	}

}
