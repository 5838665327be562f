package org.baobabknot.admission;

/**
 * Bounds of a {@link FairQueue}.
 *
 * @param capacity most requests that may be queued at once
 * @param workspaceCapacity most requests of one workspace that may be queued at once
 */
public record QueueSettings(int capacity, int workspaceCapacity) {

	/**
	 * Checks the bounds.
	 */
	public QueueSettings {
		if (capacity < 1 || workspaceCapacity < 1) {
			throw new IllegalArgumentException(
					"expected positive capacities, got " + capacity + " and " + workspaceCapacity);
		}
	}

}
