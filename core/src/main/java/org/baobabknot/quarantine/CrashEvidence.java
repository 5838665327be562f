package org.baobabknot.quarantine;

import java.util.List;

/**
 * A request was at a target that crashed, and its response was not whole.
 *
 * @param traits what the request may share with others: parts of its prompt and its
 * content as a whole, each as a hash
 * @param crash id of the crash, the same in all processes
 * @param answering whether the target had sent a part of the response
 * @param ageNanos time since the crash, in nanoseconds
 */
public record CrashEvidence(List<Long> traits, long crash, boolean answering, long ageNanos) {

	public CrashEvidence {
		traits = List.copyOf(traits);
	}

}
