package org.baobabknot.entry;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The side of a request towards its caller. Methods are called on the caller's event loop
 * only.
 */
interface Caller {

	EventLoop eventLoop();

	/**
	 * Reads more of the request body.
	 */
	void readBody();

	/**
	 * Starts the answer.
	 * @param response head of the answer
	 */
	void startResponse(HttpResponse response);

	/**
	 * Writes a part of the answer.
	 * @param data bytes of the body
	 * @param onWritable called when the caller's connection has room for more
	 */
	void writeBody(ByteString data, Runnable onWritable);

	/**
	 * Ends a whole answer.
	 */
	void endResponse();

	/**
	 * Ends an answer that is not whole: the connection is closed without the last chunk.
	 */
	void abortResponse();

	/**
	 * Answers with a problem.
	 * @param error the problem
	 * @param requestId id of the request
	 */
	void sendError(ErrorResponse error, String requestId);

}
