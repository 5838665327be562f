package org.baobabknot.distribution;

/**
 * Why a fetch failed.
 */
public enum FetchFailure {

	/** The bytes differ from the manifest. */
	CORRUPT,
	/** The source doesn't hold the chunk. */
	NOT_HELD,
	/** The source doesn't hold the chunk, and the origin does not answer it. */
	ORIGIN_UNAVAILABLE,
	/** The source is behind a link that is filled, others had better take its place. */
	SLOW,
	/** The source has no upload slot. */
	BUSY,
	/** The source can't be reached, or the transfer stalled. */
	UNREACHABLE

}
