package org.baobabknot.gossip;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.generated.Frame;

/**
 * Receives frames of one kind on stream 0. Called on the event loop of the connection.
 */
@FunctionalInterface
public interface MessageHandler {

	/**
	 * Called when a frame has been received.
	 * @param connection the connection
	 * @param frame the frame
	 */
	void onMessage(Connection connection, Frame frame);

}
