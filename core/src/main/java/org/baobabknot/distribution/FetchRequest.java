package org.baobabknot.distribution;

import java.util.List;
import java.util.Optional;

/**
 * One request to start. A question asks which of some chunks a member holds, a transfer
 * asks for the bytes of one chunk.
 *
 * @param source the member to ask, or nothing for the origin
 * @param chunks numbers of the chunks; one for a transfer
 * @param queryNumber which of the requests to the member this is
 * @param transfer whether the bytes are asked for
 */
public record FetchRequest(Optional<Peer> source, List<Integer> chunks, int queryNumber, boolean transfer) {

	public FetchRequest {
		chunks = List.copyOf(chunks);
	}

}
