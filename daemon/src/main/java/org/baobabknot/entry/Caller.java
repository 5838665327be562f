package org.baobabknot.entry;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Reads a request from its caller and writes the response. Confined to the caller's event
 * loop.
 */
interface Caller {

	EventLoop eventLoop();

	/**
	 * Reads more of the request body.
	 */
	void readBody();

	/**
	 * Starts the response.
	 * @param response head of the response
	 */
	void startResponse(HttpResponse response);

	/**
	 * Writes a part of the response body.
	 * @param data bytes of the body
	 * @param onWritable called when the caller's connection accepts more data
	 */
	void writeBody(ByteString data, Runnable onWritable);

	/**
	 * Completes the response.
	 */
	void endResponse();

	/**
	 * Closes the connection without a last chunk, which marks the response incomplete.
	 */
	void abortResponse();

	/**
	 * Sends an error response as problem details.
	 * @param error the error
	 * @param requestId id of the request, empty if it has none
	 */
	void sendError(ErrorResponse error, String requestId);

}
