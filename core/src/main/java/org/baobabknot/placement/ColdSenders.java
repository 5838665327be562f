package org.baobabknot.placement;

import java.util.Collection;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Selects the processes that may send to a cold target. Each of them can hold one unused
 * permit, so their number limits the requests that may arrive at the same moment in
 * excess of the rate.
 */
public final class ColdSenders {

	private ColdSenders() {
	}

	/**
	 * Returns how many processes may send to a cold target.
	 * @param ratePerSecond requests per second that the target accepts while cold
	 * @param overshoot factor by which the rate may be exceeded within one second
	 * @param slack requests allowed within one second in addition to that
	 * @return maximum number of senders, at least 1
	 */
	public static int maxSenders(double ratePerSecond, double overshoot, double slack) {
		return Math.max(1, (int) Math.floor(ratePerSecond * (overshoot - 1) + slack) - 1);
	}

	/**
	 * Returns whether a process may send to a target. All processes with the same list
	 * come to the same result.
	 * @param target identity of the target
	 * @param self name of the process
	 * @param processes names of all processes that may be running, empty if they are not
	 * known
	 * @param maxSenders maximum number of senders
	 * @return true for at most {@code maxSenders} of the processes, and for none that is
	 * not among them unless there are fewer
	 */
	public static boolean isSender(String target, String self, Collection<String> processes, int maxSenders) {
		if (processes.isEmpty() || (!processes.contains(self) && processes.size() >= maxSenders)) {
			return false;
		}
		if (processes.size() <= maxSenders) {
			return true;
		}
		long ownRank = rank(target, self);
		long lowerRanked = processes.stream()
			.filter((process) -> !process.equals(self) && Long.compareUnsigned(rank(target, process), ownRank) < 0)
			.count();
		return lowerRanked < maxSenders;
	}

	private static long rank(String target, String process) {
		return Hashing.komihash5_0().hashCharsToLong(target + "/" + process);
	}

}
