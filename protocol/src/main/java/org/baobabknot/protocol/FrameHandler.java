package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Frame;

/**
 * Receives the events of one stream, on the event loop of its connection.
 */
@FunctionalInterface
public interface FrameHandler {

	/**
	 * Called when a frame arrived. For a body part, the handler calls
	 * {@link Stream#recordConsumed} once it has processed the bytes, which grants the
	 * peer new credit.
	 * @param stream the stream
	 * @param frame the frame
	 */
	void onFrame(Stream stream, Frame frame);

	/**
	 * Called when the stream accepts body parts again after {@link Stream#isWritable} was
	 * false.
	 * @param stream the stream
	 */
	default void onWritable(Stream stream) {
	}

	/**
	 * Called when the connection closed before {@link Stream#close}. No more frames
	 * arrive.
	 * @param stream the stream
	 * @param failure step and cause
	 */
	default void onConnectionLost(Stream stream, ConnectionFailure failure) {
	}

}
