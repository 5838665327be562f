package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Frame;

/**
 * Receives the events of one stream, on the event loop of its connection.
 */
@FunctionalInterface
public interface FrameHandler {

	/**
	 * A frame arrived. For body parts the handler calls {@link Stream#unreportedBytes}
	 * when the bytes have left its hands, which grants the peer new credit.
	 * @param stream the stream
	 * @param frame the frame
	 */
	void onFrame(Stream stream, Frame frame);

	/**
	 * The stream accepts body parts again after {@link Stream#creditAvailable} was false.
	 * @param stream the stream
	 */
	default void onWritable(Stream stream) {
	}

	/**
	 * The connection closed before {@link Stream#close}. No frame follows.
	 * @param stream the stream
	 * @param failure step and cause
	 */
	default void onConnectionLost(Stream stream, Failure failure) {
	}

}
