package org.baobabknot.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream into whole events and remembers the number of the last one, so that the
 * stream can go on at another target after a break in the middle of an event.
 */
final class StreamEvents {

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf pending = Unpooled.buffer(256);

	private int scanned;

	private long lastId;

	private int events;

	StreamEvents(long lastId) {
		this.lastId = lastId;
	}

	/**
	 * Adds bytes of the stream.
	 * @param part the bytes, which are copied
	 * @return all events that are whole now, empty if there is none; the caller releases
	 * them
	 */
	ByteBuf add(ByteBuf part) {
		this.pending.writeBytes(part);
		int end = -1;
		int start = this.pending.readerIndex();
		for (int at = Math.max(start, this.scanned); at < this.pending.writerIndex(); at++) {
			if (this.pending.getByte(at) == '\n' && blankLineEnds(at, start)) {
				read(start, at);
				this.events++;
				end = at + 1;
				start = end;
			}
		}
		this.scanned = this.pending.writerIndex();
		if (end < 0) {
			return Unpooled.EMPTY_BUFFER;
		}
		ByteBuf whole = Unpooled
			.copiedBuffer(this.pending.slice(this.pending.readerIndex(), end - this.pending.readerIndex()));
		ByteBuf rest = Unpooled.buffer(Math.max(256, this.pending.writerIndex() - end));
		rest.writeBytes(this.pending, end, this.pending.writerIndex() - end);
		this.pending = rest;
		this.scanned = rest.writerIndex();
		return whole;
	}

	/**
	 * Drops the part of an event that has not ended, at the end of a run.
	 * @return the dropped bytes
	 */
	ByteBuf drain() {
		ByteBuf rest = this.pending;
		this.pending = Unpooled.buffer(256);
		this.scanned = 0;
		return rest;
	}

	/**
	 * Bytes of the event that has not ended yet.
	 * @return their number
	 */
	int pendingBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Number of the last whole event.
	 * @return the number, negative before the first
	 */
	long lastId() {
		return this.lastId;
	}

	/**
	 * Number of whole events so far.
	 * @return their number
	 */
	int events() {
		return this.events;
	}

	private boolean blankLineEnds(int at, int start) {
		int before = at - 1;
		if (before >= start && this.pending.getByte(before) == '\r') {
			before--;
		}
		return before >= start && this.pending.getByte(before) == '\n';
	}

	private void read(int start, int end) {
		int line = start;
		for (int at = start; at <= end; at++) {
			if (this.pending.getByte(at) == '\n') {
				id(line, at);
				line = at + 1;
			}
		}
	}

	private void id(int start, int end) {
		if (end - start <= ID.length) {
			return;
		}
		for (int index = 0; index < ID.length; index++) {
			if (this.pending.getByte(start + index) != ID[index]) {
				return;
			}
		}
		String text = this.pending.toString(start + ID.length, end - start - ID.length, StandardCharsets.US_ASCII)
			.strip();
		try {
			this.lastId = Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			// An id that is no number can't be resumed after; the one before stays.
			this.lastId = Math.max(this.lastId, -1);
		}
	}

}
