package org.baobabknot.capacity;

import java.lang.management.ManagementFactory;
import java.util.function.IntFunction;

/**
 * Measures the heap retained by a table.
 */
final class HeapMeter {

	/**
	 * More than one collection is needed: later ones free what became unreachable during
	 * the first.
	 */
	private static final int GC_ROUNDS = 3;

	private HeapMeter() {
	}

	/**
	 * Builds a table and returns the growth of the used heap.
	 * @param tableBuilder builds the table for a number of elements
	 * @param elements number of elements
	 * @return the growth in bytes
	 */
	static long retainedBytes(IntFunction<Object> tableBuilder, int elements) {
		long before = usedHeapBytes();
		Object builtTable = tableBuilder.apply(elements);
		long after = usedHeapBytes();
		if (builtTable.hashCode() == Integer.MIN_VALUE) {
			throw new IllegalStateException(
					"unexpected hash code; the check keeps the table reachable during the measurement");
		}
		return after - before;
	}

	private static long usedHeapBytes() {
		for (int round = 0; round < GC_ROUNDS; round++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
