package org.baobabknot.entry;

import java.nio.ByteBuffer;

import com.google.protobuf.ByteOutput;
import io.netty.buffer.ByteBuf;

/**
 * Writes Protobuf output to a Netty buffer without an intermediate array.
 */
final class ByteBufOutput extends ByteOutput {

	private final ByteBuf buffer;

	ByteBufOutput(ByteBuf buffer) {
		this.buffer = buffer;
	}

	@Override
	public void write(byte value) {
		this.buffer.writeByte(value);
	}

	@Override
	public void write(byte[] value, int offset, int length) {
		this.buffer.writeBytes(value, offset, length);
	}

	@Override
	public void writeLazy(byte[] value, int offset, int length) {
		this.buffer.writeBytes(value, offset, length);
	}

	@Override
	public void write(ByteBuffer value) {
		this.buffer.writeBytes(value);
	}

	@Override
	public void writeLazy(ByteBuffer value) {
		this.buffer.writeBytes(value);
	}

}
