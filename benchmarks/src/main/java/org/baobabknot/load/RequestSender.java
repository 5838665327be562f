package org.baobabknot.load;

import java.util.concurrent.CompletableFuture;

/**
 * Sends a request over one path, such as HTTP to an entry.
 */
@FunctionalInterface
public interface RequestSender {

	/**
	 * Sends a request.
	 * @param request the request
	 * @return the response; never completed exceptionally
	 */
	CompletableFuture<LoadResponse> send(LoadRequest request);

}
