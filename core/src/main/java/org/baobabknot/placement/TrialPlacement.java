package org.baobabknot.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.baobabknot.hashing.RendezvousHash;

/**
 * Which targets are preferred for a request that may crash its target, or that another
 * one may cut there.
 */
public enum TrialPlacement {

	/** The request is not suspected. */
	NONE {
		@Override
		public List<Candidate> preferred(List<Candidate> candidates, Collection<Long> contents, long nowNanos) {
			return List.of();
		}
	},

	/**
	 * The request was cut by a crash, as were others that are sent again at the same
	 * moment: away from where {@link #SPREAD} sends those that are suspected, so that it
	 * is not cut once more. Without a preference if that leaves less than half of the
	 * targets.
	 */
	APART {
		@Override
		public List<Candidate> preferred(List<Candidate> candidates, Collection<Long> contents, long nowNanos) {
			Set<Candidate> avoided = contents.stream()
				.flatMap((content) -> spread(candidates, content).stream())
				.collect(Collectors.toSet());
			List<Candidate> others = candidates.stream().filter((candidate) -> !avoided.contains(candidate)).toList();
			return (avoided.isEmpty() || others.size() < avoided.size()) ? List.of() : others;
		}
	},

	/** The request runs alone: where the least work would be lost. */
	LEAST_WORK {
		@Override
		public List<Candidate> preferred(List<Candidate> candidates, Collection<Long> contents, long nowNanos) {
			return candidates.stream()
				.min(Comparator.comparingDouble((candidate) -> candidate.load().estimatedRequests(nowNanos)))
				.map(List::of)
				.orElse(List.of());
		}
	},

	/**
	 * The request was at a target that crashed, with others that are sent again at the
	 * same moment by several processes: spread over all targets, because a further crash
	 * is evidence against all that are at the same one.
	 */
	SPREAD {
		@Override
		public List<Candidate> preferred(List<Candidate> candidates, Collection<Long> contents, long nowNanos) {
			return contents.stream().limit(1).flatMap((content) -> spread(candidates, content).stream()).toList();
		}
	};

	private static Optional<Candidate> spread(List<Candidate> candidates, long content) {
		return RendezvousHash.first(Long.toHexString(content), candidates, (candidate) -> candidate.target().id());
	}

	/**
	 * Returns the targets that are tried before the others.
	 * @param candidates targets that the request may be sent to
	 * @param contents hashes of what the suspected requests contain: of this one if it is
	 * suspected, else of the others
	 * @param nowNanos monotonic time
	 * @return the preferred targets, empty for no preference
	 */
	public abstract List<Candidate> preferred(List<Candidate> candidates, Collection<Long> contents, long nowNanos);

}
