package org.baobabknot.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import org.baobabknot.protocol.generated.Frame;

/**
 * Encodes and decodes frames, each with its length as a varint prefix. A length above the
 * limit is refused before memory is allocated for the frame.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {

	private static final int MAX_PREFIX_BYTES = 5;

	private final int maxFrameBytes;

	FrameCodec(int maxFrameBytes) {
		super(Frame.class);
		this.maxFrameBytes = maxFrameBytes;
	}

	@Override
	protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
		int size = frame.getSerializedSize();
		if (size > this.maxFrameBytes) {
			throw new CorruptedFrameException("frame of " + size + " bytes, at most " + this.maxFrameBytes);
		}
		int totalSize = CodedOutputStream.computeUInt32SizeNoTag(size) + size;
		out.ensureWritable(totalSize);
		ByteBuffer target = out.internalNioBuffer(out.writerIndex(), totalSize);
		CodedOutputStream stream = CodedOutputStream.newInstance(target);
		stream.writeUInt32NoTag(size);
		frame.writeTo(stream);
		stream.flush();
		out.writerIndex(out.writerIndex() + totalSize);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
		int start = in.readerIndex();
		int length = readLength(in);
		if (length < 0 || in.readableBytes() < length) {
			in.readerIndex(start);
			return;
		}
		ByteBuffer bytes = in.nioBuffer(in.readerIndex(), length);
		out.add(Frame.parseFrom(CodedInputStream.newInstance(bytes)));
		in.skipBytes(length);
	}

	private int readLength(ByteBuf in) {
		long length = 0;
		for (int i = 0; i < MAX_PREFIX_BYTES; i++) {
			if (!in.isReadable()) {
				return -1;
			}
			byte next = in.readByte();
			length |= (long) (next & 0x7f) << (7 * i);
			if (next >= 0) {
				if (length > this.maxFrameBytes) {
					throw new CorruptedFrameException("frame of " + length + " bytes, at most " + this.maxFrameBytes);
				}
				return (int) length;
			}
		}
		throw new CorruptedFrameException("length prefix of more than " + MAX_PREFIX_BYTES + " bytes");
	}

}
