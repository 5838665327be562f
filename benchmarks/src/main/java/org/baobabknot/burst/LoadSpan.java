package org.baobabknot.burst;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Time in which a replica was loading a version and could not serve.
 *
 * @param domain its failure domain
 * @param fromMillis begin, milliseconds since the epoch
 * @param toMillis end, milliseconds since the epoch
 */
record LoadSpan(String domain, long fromMillis, long toMillis) {

	/**
	 * Returns the largest number of spans that contain one moment.
	 * @param spans the spans
	 * @return number of replicas out at once
	 */
	static int maxOverlap(List<LoadSpan> spans) {
		List<long[]> changes = new ArrayList<>();
		for (LoadSpan span : spans) {
			changes.add(new long[] { span.fromMillis(), 1 });
			changes.add(new long[] { span.toMillis(), -1 });
		}
		// An end and a begin in the same millisecond do not overlap.
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
