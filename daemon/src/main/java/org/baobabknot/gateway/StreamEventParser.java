package org.baobabknot.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a server-sent event stream into complete events and records the id of the last
 * one, so that the stream can resume at another target after it broke within an event.
 */
final class StreamEventParser {

	private static final byte[] ID_PREFIX = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf pending = Unpooled.buffer(256);

	private int scannedIndex;

	private long lastEventId;

	private int eventCount;

	StreamEventParser(long lastEventId) {
		this.lastEventId = lastEventId;
	}

	/**
	 * Adds bytes of the stream.
	 * @param data the bytes, which are copied
	 * @return all events completed by them, empty if there is none, to be released
	 */
	ByteBuf add(ByteBuf data) {
		this.pending.writeBytes(data);
		int completeEnd = -1;
		int eventStart = this.pending.readerIndex();
		for (int index = Math.max(eventStart, this.scannedIndex); index < this.pending.writerIndex(); index++) {
			if (this.pending.getByte(index) == '\n' && endsBlankLine(index, eventStart)) {
				parseEvent(eventStart, index);
				this.eventCount++;
				completeEnd = index + 1;
				eventStart = completeEnd;
			}
		}
		this.scannedIndex = this.pending.writerIndex();
		if (completeEnd < 0) {
			return Unpooled.EMPTY_BUFFER;
		}
		ByteBuf completeEvents = Unpooled
			.copiedBuffer(this.pending.slice(this.pending.readerIndex(), completeEnd - this.pending.readerIndex()));
		ByteBuf remaining = Unpooled.buffer(Math.max(256, this.pending.writerIndex() - completeEnd));
		remaining.writeBytes(this.pending, completeEnd, this.pending.writerIndex() - completeEnd);
		this.pending = remaining;
		this.scannedIndex = remaining.writerIndex();
		return completeEvents;
	}

	/**
	 * Removes the incomplete event at the end of the stream.
	 * @return its bytes, to be released
	 */
	ByteBuf takePending() {
		ByteBuf remaining = this.pending;
		this.pending = Unpooled.buffer(256);
		this.scannedIndex = 0;
		return remaining;
	}

	/**
	 * Returns the size of the incomplete event.
	 * @return number of bytes
	 */
	int pendingBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Returns the id of the last complete event.
	 * @return the id, negative before the first event
	 */
	long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the number of complete events so far.
	 * @return number of events
	 */
	int eventCount() {
		return this.eventCount;
	}

	private boolean endsBlankLine(int index, int start) {
		int previous = index - 1;
		if (previous >= start && this.pending.getByte(previous) == '\r') {
			previous--;
		}
		return previous >= start && this.pending.getByte(previous) == '\n';
	}

	private void parseEvent(int start, int end) {
		int lineStart = start;
		for (int index = start; index <= end; index++) {
			if (this.pending.getByte(index) == '\n') {
				parseId(lineStart, index);
				lineStart = index + 1;
			}
		}
	}

	private void parseId(int start, int end) {
		if (end - start <= ID_PREFIX.length) {
			return;
		}
		for (int index = 0; index < ID_PREFIX.length; index++) {
			if (this.pending.getByte(start + index) != ID_PREFIX[index]) {
				return;
			}
		}
		String text = this.pending
			.toString(start + ID_PREFIX.length, end - start - ID_PREFIX.length, StandardCharsets.US_ASCII)
			.strip();
		try {
			this.lastEventId = Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			// A stream can't resume after an id that isn't a number, so the previous id
			// stays.
			this.lastEventId = Math.max(this.lastEventId, -1);
		}
	}

}
