package org.baobabknot.mirror;

import java.util.Map;

/**
 * Revisions of the items that a process has.
 *
 * @param era era in which the revisions were given out, 0 if it is not known
 * @param revisions revision of each item, 0 for one that the store has not had in this
 * era
 */
public record KnownRevisions(long era, Map<String, Long> revisions) {

	/** Of a process that has nothing. */
	public static final KnownRevisions NONE = new KnownRevisions(0, Map.of());

	public KnownRevisions {
		revisions = Map.copyOf(revisions);
	}

	/**
	 * Returns the revisions that can be compared with those of an era.
	 * @param otherEra the era
	 * @return the revisions, none if they are known to be of another era
	 */
	public Map<String, Long> comparableIn(long otherEra) {
		return (this.era == 0 || this.era == otherEra) ? this.revisions : Map.of();
	}

}
