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
	static int mostAtOnce(List<LoadSpan> spans) {
		List<long[]> changes = new ArrayList<>();
		for (LoadSpan span : spans) {
			changes.add(new long[] { span.fromMillis(), 1 });
			changes.add(new long[] { span.toMillis(), -1 });
		}
		// An end and a begin in the same millisecond do not overlap.
		changes.sort(Comparator.<long[]>comparingLong((change) -> change[0]).thenComparingLong((change) -> change[1]));
		int out = 0;
		int most = 0;
		for (long[] change : changes) {
			out += (int) change[1];
			most = Math.max(most, out);
		}
		return most;
	}

}
