package org.baobabknot.standin.origin;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.baobabknot.standin.Call;
import org.baobabknot.standin.LinkRate;
import org.baobabknot.standin.StandinServer;

/**
 * Sends one chunk at the pace of the shared link.
 */
final class ChunkSender {

	private static final int PART_BYTES = 16 * 1024;

	/**
	 * Time after which a stalled or blocked sender looks again.
	 */
	private static final int RETRY_MILLIS = 20;

	private final StandinServer server;

	private final LinkRate rate;

	private final Call call;

	private final byte[] bytes;

	private final int stop;

	private final IntConsumer sent;

	private int next;

	ChunkSender(StandinServer server, LinkRate rate, Call call, byte[] bytes, int stop, IntConsumer sent) {
		this.server = server;
		this.rate = rate;
		this.call = call;
		this.bytes = bytes;
		this.stop = stop;
		this.sent = sent;
	}

	void start() {
		this.call.start(200, "application/octet-stream", this.bytes.length, Map.of());
		step();
	}

	private void step() {
		if (this.call.isEnded()) {
			return;
		}
		if (this.next >= this.stop) {
			finish();
			return;
		}
		boolean stalled = this.server.faults().isOn("stall") && this.next >= this.bytes.length / 2;
		if (stalled || this.server.faults().isOn("freeze") || !this.call.isWritable()) {
			this.server.loop().schedule(this::step, RETRY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		int length = Math.min(PART_BYTES, this.stop - this.next);
		long wait = this.rate.reserve(length, System.nanoTime());
		Runnable send = () -> send(length);
		if (wait > 0) {
			this.server.loop().schedule(send, wait, TimeUnit.NANOSECONDS);
		}
		else {
			this.server.loop().execute(send);
		}
	}

	private void send(int length) {
		if (!this.call.isEnded()) {
			this.call.part(this.bytes, this.next, length);
			this.sent.accept(length);
			this.next += length;
			step();
		}
	}

	private void finish() {
		if (this.stop < this.bytes.length) {
			this.call.drop();
		}
		else {
			this.call.end();
		}
	}

}
