package org.baobabknot.gossip;

import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Accepts streams whose first frame is of one kind. Called on the event loop of the
 * connection.
 */
@FunctionalInterface
public interface StreamAcceptor {

	/**
	 * Accepts a stream that a peer has opened.
	 * @param stream the stream
	 * @param first its first frame
	 * @return handler of later frames; {@code null} closes the stream after the frames
	 * sent so far
	 */
	@Nullable FrameHandler accept(Stream stream, Frame first);

}
