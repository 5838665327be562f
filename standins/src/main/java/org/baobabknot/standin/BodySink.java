package org.baobabknot.standin;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/**
 * Receives the body of a request.
 */
public interface BodySink {

	/**
	 * Called when a part of the body arrives.
	 * @param part the bytes, valid during the call only
	 */
	void onPart(ByteBuf part);

	/**
	 * Called when the body is complete.
	 */
	void onEnd();

	/**
	 * Creates a sink that collects the body.
	 * @param whole called with the complete body
	 * @return the sink
	 */
	static BodySink collecting(Consumer<byte[]> whole) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		return new BodySink() {
			@Override
			public void onPart(ByteBuf part) {
				bytes.writeBytes(ByteBufUtil.getBytes(part));
			}

			@Override
			public void onEnd() {
				whole.accept(bytes.toByteArray());
			}
		};
	}

	/**
	 * Creates a sink that discards the body.
	 * @param endListener called when the body is complete
	 * @return the sink
	 */
	static BodySink ignoring(Runnable endListener) {
		return collecting((bytes) -> endListener.run());
	}

}
