package org.baobabknot.standin.origin;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.baobabknot.standin.Call;
import org.baobabknot.standin.LinkRate;
import org.baobabknot.standin.StandinServer;

/**
 * Sends one chunk at the rate of the shared link.
 */
final class ChunkSender {

	private static final int MAX_PART_BYTES = 16 * 1024;

	/**
	 * Delay after which a stalled or blocked sender tries again.
	 */
	private static final int RETRY_DELAY_MS = 20;

	private final StandinServer server;

	private final LinkRate rate;

	private final Call call;

	private final byte[] bytes;

	private final int endOffset;

	private final IntConsumer sentBytesListener;

	private int nextOffset;

	ChunkSender(StandinServer server, LinkRate rate, Call call, byte[] bytes, int endOffset,
			IntConsumer sentBytesListener) {
		this.server = server;
		this.rate = rate;
		this.call = call;
		this.bytes = bytes;
		this.endOffset = endOffset;
		this.sentBytesListener = sentBytesListener;
	}

	void start() {
		this.call.startResponse(200, "application/octet-stream", this.bytes.length, Map.of());
		sendNextPart();
	}

	private void sendNextPart() {
		if (this.call.isEnded()) {
			return;
		}
		if (this.nextOffset >= this.endOffset) {
			finish();
			return;
		}
		boolean stalled = this.server.faults().isActive("stall") && this.nextOffset >= this.bytes.length / 2;
		if (stalled || this.server.faults().isActive("freeze") || !this.call.isWritable()) {
			this.server.loop().schedule(this::sendNextPart, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
			return;
		}
		int length = Math.min(MAX_PART_BYTES, this.endOffset - this.nextOffset);
		long delayNanos = this.rate.reserve(length, System.nanoTime());
		Runnable send = () -> sendPart(length);
		if (delayNanos > 0) {
			this.server.loop().schedule(send, delayNanos, TimeUnit.NANOSECONDS);
		}
		else {
			this.server.loop().execute(send);
		}
	}

	private void sendPart(int length) {
		if (!this.call.isEnded()) {
			this.call.sendBodyPart(this.bytes, this.nextOffset, length);
			this.sentBytesListener.accept(length);
			this.nextOffset += length;
			sendNextPart();
		}
	}

	private void finish() {
		if (this.endOffset < this.bytes.length) {
			this.call.closeConnection();
		}
		else {
			this.call.endResponse();
		}
	}

}
