package org.baobabknot.standin;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/**
 * Takes the body of a request.
 */
public interface BodySink {

	/**
	 * A part arrived.
	 * @param part the bytes, valid during the call only
	 */
	void part(ByteBuf part);

	/**
	 * The body is complete.
	 */
	void end();

	/**
	 * Collects the body.
	 * @param whole called with the complete body
	 * @return the sink
	 */
	static BodySink whole(Consumer<byte[]> whole) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		return new BodySink() {
			@Override
			public void part(ByteBuf part) {
				bytes.writeBytes(ByteBufUtil.getBytes(part));
			}

			@Override
			public void end() {
				whole.accept(bytes.toByteArray());
			}
		};
	}

	/**
	 * Ignores the body.
	 * @param ended called when the body is complete
	 * @return the sink
	 */
	static BodySink ignore(Runnable ended) {
		return whole((bytes) -> ended.run());
	}

}
