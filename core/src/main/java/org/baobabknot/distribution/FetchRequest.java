package org.baobabknot.distribution;

import java.util.List;
import java.util.Optional;

/**
 * A request to a member or the origin. An availability query asks which of some chunks a
 * member holds; a transfer asks for the bytes of one chunk.
 *
 * @param source the member, or empty for the origin
 * @param chunks numbers of the chunks; one for a transfer
 * @param queryNumber number of the query among those to the member, from 0; for a
 * transfer, the query in response to which the chunk was offered
 * @param transfer true for a transfer, false for a query
 */
public record FetchRequest(Optional<Peer> source, List<Integer> chunks, int queryNumber, boolean transfer) {

	public FetchRequest {
		chunks = List.copyOf(chunks);
	}

}
