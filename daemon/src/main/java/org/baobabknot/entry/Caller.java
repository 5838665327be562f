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
	void readMore();

	/**
	 * Starts the answer.
	 * @param response head of the answer
	 */
	void startAnswer(HttpResponse response);

	/**
	 * Writes a part of the answer.
	 * @param part bytes of the body
	 * @param written called when the caller's connection has room for more
	 */
	void writeBody(ByteString part, Runnable written);

	/**
	 * Ends a whole answer.
	 */
	void endAnswer();

	/**
	 * Ends an answer that is not whole: the connection is closed without the last chunk.
	 */
	void abortAnswer();

	/**
	 * Answers with a problem.
	 * @param problem the problem
	 * @param requestId id of the request
	 */
	void answer(Problem problem, String requestId);

}
