package org.baobabknot.gateway;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.AnswerHead;
import org.baobabknot.httpclient.AnswerListener;
import org.baobabknot.httpclient.Failure;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.placement.TargetLoad;
import org.baobabknot.provider.RequestDialect;
import org.baobabknot.provider.TargetAnswer;
import org.jspecify.annotations.Nullable;

/**
 * One request at one target. Collects the answer, or hands its events on if it is a
 * stream, and tells the request how it ended.
 */
final class TargetAttempt implements AnswerListener {

	private final GatewayRequest request;

	private final SharedMemory memory;

	private final TargetRecord target;

	private final TargetLoad load;

	private final String requestId;

	private final boolean streams;

	private final double predictedMs;

	private final long sentNanos;

	private final ByteBuf whole = Unpooled.buffer(256);

	private @Nullable HttpExchange exchange;

	private @Nullable AnswerHead head;

	private @Nullable TargetAnswer answer;

	private long progressNanos;

	private boolean done;

	TargetAttempt(GatewayRequest request, SharedMemory memory, TargetRecord target, TargetLoad load, String requestId,
			boolean streams, double predictedMs, long sentNanos) {
		this.request = request;
		this.memory = memory;
		this.target = target;
		this.load = load;
		this.requestId = requestId;
		this.streams = streams;
		this.predictedMs = predictedMs;
		this.sentNanos = sentNanos;
		this.progressNanos = sentNanos;
		load.recordSent(sentNanos);
		load.expectFirstByte(this, predictedMs, sentNanos);
	}

	void exchange(HttpExchange opened) {
		this.exchange = opened;
	}

	TargetRecord target() {
		return this.target;
	}

	TargetLoad load() {
		return this.load;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	/**
	 * Time since the last bytes of this answer or, if that is shorter, of any answer of
	 * the target.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds
	 */
	long silentNanos(long nowNanos) {
		return Math.min(nowNanos - this.progressNanos, this.load.silentNanos(nowNanos));
	}

	/**
	 * Time since the last bytes of this answer.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds
	 */
	long ownSilentNanos(long nowNanos) {
		return nowNanos - this.progressNanos;
	}

	boolean answering() {
		return this.head != null;
	}

	@Override
	public boolean accepts(AnswerHead candidate) {
		String id = RequestDialect.answer(candidate).requestId();
		return id.isEmpty() || this.requestId.isEmpty() || id.equals(this.requestId);
	}

	@Override
	public void started(AnswerHead started) {
		long now = System.nanoTime();
		progress(now);
		TargetAnswer decoded = RequestDialect.answer(started);
		this.head = started;
		this.answer = decoded;
		if (decoded.running() >= 0) {
			this.load.recordResponseLoad(decoded.running() + Math.max(0, decoded.waiting()), now);
		}
		this.load.version(decoded.version());
		this.load.recordFirstByte(this, now);
	}

	@Override
	public void part(ByteBuf part) {
		if (this.done) {
			return;
		}
		progress(System.nanoTime());
		TargetAnswer decoded = Objects.requireNonNull(this.answer);
		if (this.streams && passes(decoded)) {
			this.request.events(this, Objects.requireNonNull(this.head), part);
		}
		else if (this.memory.tryGrow(this.whole.readableBytes(), part.readableBytes())) {
			this.whole.writeBytes(part);
		}
		else {
			endless("no room for more than " + this.whole.readableBytes() + " bytes");
		}
	}

	/**
	 * Gives up an answer that does not seem to end.
	 * @param detail what was seen
	 */
	void endless(String detail) {
		HttpExchange open = this.exchange;
		if (finish()) {
			if (open != null) {
				open.cancel(detail);
			}
			this.request.failed(this, Failure.afterSending("read answer", this.target.address(), detail));
		}
	}

	@Override
	public void ended() {
		if (!finish()) {
			return;
		}
		AnswerHead decodedHead = Objects.requireNonNull(this.head);
		TargetAnswer decoded = Objects.requireNonNull(this.answer);
		if (decoded.notRun()) {
			this.request.notRun(this, (decoded.otherTarget()) ? "another-target" : "target-refused",
					!decoded.otherTarget());
		}
		else if (decoded.success() && !passes(decoded)) {
			this.request.failed(this, Failure.afterSending("read answer", this.target.address(),
					"a success that the target has not signed or that is encoded"));
		}
		else if (this.streams && decoded.success()) {
			this.request.streamEnded(this, decodedHead);
		}
		else {
			byte[] bytes = new byte[this.whole.readableBytes()];
			this.whole.readBytes(bytes);
			this.request.answered(this, decoded, decodedHead, bytes);
		}
	}

	@Override
	public void failed(Failure failure) {
		if (finish()) {
			if (failure.sent()) {
				this.request.failed(this, failure);
			}
			else {
				this.request.notRun(this, failure.toString(), false);
			}
		}
	}

	/**
	 * Gives the attempt up without telling the request.
	 * @param reason the reason
	 */
	void abandon(String reason) {
		if (finish()) {
			HttpExchange open = this.exchange;
			if (open != null) {
				open.cancel(reason);
			}
		}
	}

	void reading(boolean on) {
		HttpExchange open = this.exchange;
		if (open != null && !this.done) {
			if (on) {
				open.resume();
			}
			else {
				open.pause();
			}
		}
	}

	double predictedMs() {
		return this.predictedMs;
	}

	private static boolean passes(TargetAnswer decoded) {
		return decoded.success() && decoded.signed() && !decoded.encoded();
	}

	private void progress(long now) {
		this.progressNanos = now;
		this.load.recordProgress(now);
	}

	private boolean finish() {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.memory.release(this.whole.readableBytes());
		this.load.recordDropped(this, System.nanoTime());
		this.load.ended();
		return true;
	}

}
