package org.baobabknot.fuzz;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.baobabknot.httpclient.ChannelCalls;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.httpclient.ResponseListener;
import org.baobabknot.httpclient.ResponseMatching;
import org.baobabknot.httpclient.ResponseOwner;

/**
 * Plays bytes as what a connection receives after its second call.
 */
final class AnswerTrial {

	private static final Duration TIMEOUT = Duration.ofMinutes(1);

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	/** Bytes that a connection may hold beside the part that arrives. */
	private static final long MAX_HELD_BYTES = 4L * MAX_HEADER_BYTES;

	private static final HttpClientSettings SETTINGS = new HttpClientSettings(1, TIMEOUT, TIMEOUT, MAX_HEADER_BYTES,
			1 << 20, true, ResponseMatching.BY_IDENTITY);

	private static final byte[] FIRST_ANSWER = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
		.getBytes(StandardCharsets.ISO_8859_1);

	private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);

	private final String method;

	/**
	 * Creates a trial.
	 * @param method method of the second call
	 */
	AnswerTrial(String method) {
		this.method = method;
	}

	/**
	 * Plays bytes on a new connection.
	 * @param bytes the bytes
	 * @param cuts indices at which the bytes are cut into parts, in ascending order
	 * @return what the second call got, and whether the connection may carry a third
	 * @throws IllegalStateException if the connection held too many bytes, released not
	 * all of them or met an exception that nothing expects
	 */
	String play(byte[] bytes, List<Integer> cuts) {
		EmbeddedChannel channel = new EmbeddedChannel();
		channel.config().setAllocator(this.allocator);
		ChannelCalls calls = new ChannelCalls(channel, SETTINGS, "peer");
		calls.open(call("GET", "a"), new Listener("a")).end();
		write(channel, FIRST_ANSWER);
		Listener listener = new Listener("b");
		calls.open(call(this.method, "b"), listener).end();
		int from = 0;
		for (int cut : cuts) {
			write(channel, Arrays.copyOfRange(bytes, from, cut));
			from = cut;
		}
		write(channel, Arrays.copyOfRange(bytes, from, bytes.length));
		String outcome = listener.outcome + " reusable: " + calls.mayCarry(call("GET", "c"));
		channel.finishAndReleaseAll();
		if (!listener.unexpected.isEmpty()) {
			throw new IllegalStateException("an exception that no handler expects: " + listener.unexpected);
		}
		if (this.allocator.metric().usedHeapMemory() != 0) {
			throw new IllegalStateException(this.allocator.metric().usedHeapMemory() + " bytes not released");
		}
		return outcome;
	}

	private static HttpCall call(String method, String id) {
		return new HttpCall(method, "/", List.of(), TIMEOUT, TIMEOUT, 0, id);
	}

	private void write(EmbeddedChannel channel, byte[] part) {
		if (part.length == 0 || !channel.isOpen()) {
			return;
		}
		ByteBuf buffer = this.allocator.heapBuffer(part.length).writeBytes(part);
		channel.writeInbound(buffer);
		channel.releaseOutbound();
		long heldBytes = this.allocator.metric().usedHeapMemory();
		if (heldBytes > MAX_HELD_BYTES + part.length) {
			throw new IllegalStateException(heldBytes + " bytes held after a part of " + part.length);
		}
	}

	private static final class Listener implements ResponseListener {

		private final String id;

		private final StringBuilder outcome = new StringBuilder();

		private String unexpected = "";

		Listener(String id) {
			this.id = id;
		}

		@Override
		public ResponseOwner owner(ResponseHead head) {
			String stated = head.header("Request-Id").orElse("");
			if (stated.isEmpty()) {
				return ResponseOwner.UNSTATED;
			}
			return (stated.equals(this.id)) ? ResponseOwner.THIS_CALL : ResponseOwner.OTHER_CALL;
		}

		@Override
		public void onUnmatched(ResponseHead head, ResponseOwner owner) {
			this.outcome.append("unmatched ").append(head).append('\n');
		}

		@Override
		public void onHead(ResponseHead head) {
			this.outcome.append(head).append('\n');
		}

		@Override
		public void onBodyPart(ByteBuf bodyPart) {
			this.outcome.append(bodyPart.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void onEnd() {
			this.outcome.append("\nended");
		}

		@Override
		public void onFailure(HttpFailure failure) {
			if (failure.step().equals("use connection")) {
				this.unexpected = failure.detail();
			}
			this.outcome.append("\nfailed: ").append(failure.step()).append(' ').append(failure.kind());
		}

	}

}
