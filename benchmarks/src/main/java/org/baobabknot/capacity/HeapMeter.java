package org.baobabknot.capacity;

import java.lang.management.ManagementFactory;
import java.util.function.IntFunction;

/**
 * Measures the heap that a table keeps alive.
 */
final class HeapMeter {

	/** A second collection frees what became unreachable during the first one. */
	private static final int GC_ROUNDS = 3;

	private HeapMeter() {
	}

	/**
	 * Builds a table and returns the growth of the used heap.
	 * @param tableBuilder builds the table for a number of elements
	 * @param elements number of elements
	 * @return bytes
	 */
	static long retainedBytes(IntFunction<Object> tableBuilder, int elements) {
		long before = usedHeapBytes();
		Object builtTable = tableBuilder.apply(elements);
		long after = usedHeapBytes();
		if (builtTable.hashCode() == Integer.MIN_VALUE) {
			throw new IllegalStateException("unreachable in practice; keeps the table alive until here");
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
