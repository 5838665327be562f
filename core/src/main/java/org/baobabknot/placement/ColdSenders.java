package org.baobabknot.placement;

import java.util.Collection;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Chooses which processes may send to a cold target. Each of them may save up one
 * request, so their number bounds how many arrive at the same moment beyond the rate.
 */
public final class ColdSenders {

	private ColdSenders() {
	}

	/**
	 * Returns how many processes may send to a cold target.
	 * @param ratePerSecond requests that the target bears in a second
	 * @param overshoot factor by which the rate may be exceeded in a second
	 * @param slack requests allowed in a second beside that
	 * @return their number, at least 1
	 */
	public static int maxSenders(double ratePerSecond, double overshoot, double slack) {
		return Math.max(1, (int) Math.floor(ratePerSecond * (overshoot - 1) + slack) - 1);
	}

	/**
	 * Tells whether a process is among those that may send to a target.
	 * @param target identity of the target
	 * @param self the process
	 * @param processes all processes
	 * @param maxSenders how many may send
	 * @return true for the same {@code most} processes whoever asks
	 */
	public static boolean isSender(String target, String self, Collection<String> processes, int maxSenders) {
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
