package org.baobabknot.mirror;

import java.util.Comparator;

/**
 * Position in the history of a store. A store that is restored from an older copy begins
 * a new era, in which it gives out revisions again. Positions of different eras are
 * ordered by era alone.
 *
 * @param era number of the era, 0 for a store that states none
 * @param revision number of changes, 0 before the first read
 */
public record Position(long era, long revision) implements Comparable<Position> {

	/** Position of a process that has read nothing. */
	public static final Position NONE = new Position(0, 0);

	private static final Comparator<Position> ORDER = Comparator.comparingLong(Position::era)
		.thenComparingLong(Position::revision);

	/**
	 * Returns whether anything was read.
	 * @return false for {@link #NONE}
	 */
	public boolean isKnown() {
		return this.revision > 0;
	}

	@Override
	public int compareTo(Position other) {
		return ORDER.compare(this, other);
	}

}
