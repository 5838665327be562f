package org.baobabknot.distribution;

/**
 * Reason for which a fetch failed.
 */
public enum FetchFailure {

	/** The bytes differ from the manifest. */
	CORRUPT,
	/** The source doesn't hold the chunk. */
	NOT_HELD,
	/** The source doesn't hold the chunk, and the origin does not respond to it. */
	NOT_SUPPLIED,
	/**
	 * The source is behind a saturated link, so other members should take over from it.
	 */
	SLOW,
	/** The source has no upload slot. */
	BUSY,
	/** The source can't be reached, or the transfer stalled. */
	UNREACHABLE

}
