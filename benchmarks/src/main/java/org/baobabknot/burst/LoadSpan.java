package org.baobabknot.burst;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Period in which a replica loaded a version and could not serve requests.
 *
 * @param domain failure domain of the replica
 * @param fromMillis begin, milliseconds since the epoch
 * @param toMillis end, milliseconds since the epoch
 */
record LoadSpan(String domain, long fromMillis, long toMillis) {

	/**
	 * Returns the largest number of spans that overlap at any time.
	 * @param spans the spans
	 * @return number of replicas out of service at the same time
	 */
	static int maxOverlap(List<LoadSpan> spans) {
		List<long[]> changes = new ArrayList<>();
		for (LoadSpan span : spans) {
			changes.add(new long[] { span.fromMillis(), 1 });
			changes.add(new long[] { span.toMillis(), -1 });
		}
		// Ends sort before starts: two spans that meet in the same millisecond do not
		// overlap.
		changes.sort(Comparator.<long[]>comparingLong((change) -> change[0]).thenComparingLong((change) -> change[1]));
		int overlap = 0;
		int maxOverlap = 0;
		for (long[] change : changes) {
			overlap += (int) change[1];
			maxOverlap = Math.max(maxOverlap, overlap);
		}
		return maxOverlap;
	}

}
