package org.baobabknot.agent.weights;

import java.util.List;
import java.util.Optional;

import org.baobabknot.protocol.generated.RolloutUpdate;
import org.baobabknot.rollout.RolloutEntry;
import org.baobabknot.rollout.RolloutKey;
import org.baobabknot.rollout.RolloutPhase;

/**
 * Converts rollout entries to and from protocol messages.
 */
final class RolloutMessages {

	private RolloutMessages() {
	}

	static RolloutUpdate toMessage(String service, String domain, List<RolloutEntry> entries) {
		RolloutUpdate.Builder update = RolloutUpdate.newBuilder();
		for (RolloutEntry entry : entries) {
			update.addEntries(org.baobabknot.protocol.generated.RolloutEntry.newBuilder()
				.setInstance(entry.instance())
				.setIncarnation(entry.incarnation())
				.setSequence(entry.sequence())
				.setService(service)
				.setFailureDomain(domain)
				.setVersion(entry.key().version())
				.setEpoch(entry.key().epoch())
				.setPhase(org.baobabknot.protocol.generated.RolloutPhase.valueOf(entry.phase().name()))
				.setLate(entry.moveBackCount()));
		}
		return update.build();
	}

	// Converts the entries of one group. Entries of other groups and entries with a phase
	// that this version does not support are omitted.
	static List<RolloutEntry> toEntries(String service, String domain, RolloutUpdate update) {
		return update.getEntriesList()
			.stream()
			.filter((entry) -> entry.getService().equals(service) && entry.getFailureDomain().equals(domain))
			.flatMap((entry) -> toPhase(entry.getPhase())
				.map((phase) -> new RolloutEntry(entry.getInstance(), entry.getIncarnation(), entry.getSequence(),
						new RolloutKey(entry.getVersion(), entry.getEpoch()), phase, entry.getLate()))
				.stream())
			.toList();
	}

	private static Optional<RolloutPhase> toPhase(org.baobabknot.protocol.generated.RolloutPhase phase) {
		return switch (phase) {
			case FETCHING -> Optional.of(RolloutPhase.FETCHING);
			case READY -> Optional.of(RolloutPhase.READY);
			case OUT -> Optional.of(RolloutPhase.OUT);
			case DONE -> Optional.of(RolloutPhase.DONE);
			default -> Optional.empty();
		};
	}

}
