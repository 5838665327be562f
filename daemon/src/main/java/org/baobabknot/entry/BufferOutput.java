package org.baobabknot.entry;

import java.nio.ByteBuffer;

import com.google.protobuf.ByteOutput;
import io.netty.buffer.ByteBuf;

/**
 * Copies the bytes of a message into a buffer without an array in between.
 */
final class BufferOutput extends ByteOutput {

	private final ByteBuf target;

	BufferOutput(ByteBuf target) {
		this.target = target;
	}

	@Override
	public void write(byte value) {
		this.target.writeByte(value);
	}

	@Override
	public void write(byte[] value, int offset, int length) {
		this.target.writeBytes(value, offset, length);
	}

	@Override
	public void writeLazy(byte[] value, int offset, int length) {
		this.target.writeBytes(value, offset, length);
	}

	@Override
	public void write(ByteBuffer value) {
		this.target.writeBytes(value);
	}

	@Override
	public void writeLazy(ByteBuffer value) {
		this.target.writeBytes(value);
	}

}
