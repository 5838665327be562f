package org.baobabknot.placement;

import java.util.Comparator;
import java.util.List;

import org.baobabknot.hashing.RendezvousHash;

/**
 * Which targets are preferred for a request that may crash its target.
 */
public enum TrialPlacement {

	/** The request is not suspected. */
	NONE {
		@Override
		public List<Candidate> preferred(List<Candidate> candidates, long content, long nowNanos) {
			return List.of();
		}
	},

	/** The request runs alone: where the least work would be lost. */
	LEAST_WORK {
		@Override
		public List<Candidate> preferred(List<Candidate> candidates, long content, long nowNanos) {
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
		public List<Candidate> preferred(List<Candidate> candidates, long content, long nowNanos) {
			return RendezvousHash.first(Long.toHexString(content), candidates, (candidate) -> candidate.target().id())
				.map(List::of)
				.orElse(List.of());
		}
	};

	/**
	 * Returns the targets that are tried before the others.
	 * @param candidates targets that the request may be sent to
	 * @param content hash of the content of the request
	 * @param nowNanos monotonic time
	 * @return the preferred targets, empty for no preference
	 */
	public abstract List<Candidate> preferred(List<Candidate> candidates, long content, long nowNanos);

}
