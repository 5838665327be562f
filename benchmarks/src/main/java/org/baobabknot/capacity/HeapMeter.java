package org.baobabknot.capacity;

import java.lang.management.ManagementFactory;
import java.util.function.IntFunction;

/**
 * Measures the heap that a table keeps alive.
 */
final class HeapMeter {

	/** A second collection frees what became unreachable during the first one. */
	private static final int COLLECTIONS = 3;

	private HeapMeter() {
	}

	/**
	 * Builds a table and returns the growth of the used heap.
	 * @param table builds the table for a number of elements
	 * @param elements number of elements
	 * @return bytes
	 */
	static long bytes(IntFunction<Object> table, int elements) {
		long before = used();
		Object built = table.apply(elements);
		long after = used();
		if (built.hashCode() == Integer.MIN_VALUE) {
			throw new IllegalStateException("unreachable in practice; keeps the table alive until here");
		}
		return after - before;
	}

	private static long used() {
		for (int round = 0; round < COLLECTIONS; round++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
