package org.baobabknot.gateway;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.httpclient.ResponseListener;
import org.baobabknot.httpclient.ResponseOwner;
import org.baobabknot.placement.TargetLoad;
import org.baobabknot.provider.LimitField;
import org.baobabknot.provider.PlatformHeaders;
import org.baobabknot.provider.TargetResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request at one target. Buffers the response or forwards its
 * events, and notifies the request of the outcome.
 */
final class TargetAttempt implements ResponseListener {

	private final GatewayRequest request;

	private final BufferBudget bufferBudget;

	private final TargetRecord target;

	private final PooledTarget pooledTarget;

	private final TargetLoad load;

	private final String requestId;

	private final boolean streaming;

	private final double predictedMs;

	private final long sentNanos;

	private final ByteBuf bufferedBody = Unpooled.buffer(256);

	private @Nullable HttpExchange exchange;

	private @Nullable ResponseHead responseHead;

	private @Nullable TargetResponseHead response;

	private long lastProgressNanos;

	/** Whether nothing is read because the caller does not read. */
	private boolean paused;

	private boolean written;

	/** Whether the request was at the target before. */
	private boolean isReturn;

	private boolean done;

	TargetAttempt(GatewayRequest request, BufferBudget bufferBudget, TargetRecord target, PooledTarget pooledTarget,
			String requestId, boolean streaming, double predictedMs, long sentNanos) {
		this.request = request;
		this.bufferBudget = bufferBudget;
		this.target = target;
		this.pooledTarget = pooledTarget;
		this.load = pooledTarget.load();
		this.requestId = requestId;
		this.streaming = streaming;
		this.predictedMs = predictedMs;
		this.sentNanos = sentNanos;
		this.lastProgressNanos = sentNanos;
		this.load.recordSent(sentNanos);
		this.load.expectFirstByte(this, predictedMs, sentNanos);
	}

	void exchange(HttpExchange newExchange) {
		this.exchange = newExchange;
	}

	TargetRecord target() {
		return this.target;
	}

	PooledTarget pooledTarget() {
		return this.pooledTarget;
	}

	TargetLoad load() {
		return this.load;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	/**
	 * Returns the time since the last progress of this response or, if that is shorter,
	 * since the last bytes of any response of the target.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds
	 */
	long targetSilentNanos(long nowNanos) {
		return Math.min(responseSilentNanos(nowNanos), this.load.silentNanos(nowNanos));
	}

	/**
	 * Returns the time since the last progress of this response: complete events of a
	 * stream, or bytes of any other response. Bytes of an event that does not end are no
	 * progress, so that a target which sends one now and then counts as silent.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds, 0 while the response is not read
	 */
	long responseSilentNanos(long nowNanos) {
		return (this.paused) ? 0 : nowNanos - this.lastProgressNanos;
	}

	boolean written() {
		return this.written;
	}

	boolean isReturn() {
		return this.isReturn;
	}

	/**
	 * Records that the request was at the target before, so that it may have run there
	 * whatever this attempt states.
	 */
	void markReturn() {
		this.isReturn = true;
	}

	/**
	 * Records that the target has written a complete event.
	 */
	void markWritten() {
		this.written = true;
	}

	/**
	 * Returns what marks the end of the response, for the log.
	 * @return {@code none} before its head was received, {@code close} for the end of the
	 * connection, else {@code stated}
	 */
	String framing() {
		ResponseHead head = this.responseHead;
		if (head == null) {
			return "none";
		}
		return (head.isCloseDelimited()) ? "close" : "stated";
	}

	/**
	 * Returns whether the attempt may still bring a response.
	 * @return false after its end, its failure or its cancellation
	 */
	boolean isOpen() {
		return !this.done;
	}

	boolean responseStarted() {
		return this.responseHead != null;
	}

	@Override
	public ResponseOwner owner(ResponseHead candidate) {
		String responseId = PlatformHeaders.decodeResponse(candidate).requestId();
		if (responseId.isEmpty() || this.requestId.isEmpty()) {
			return ResponseOwner.UNSTATED;
		}
		return (responseId.equals(this.requestId)) ? ResponseOwner.THIS_CALL : ResponseOwner.OTHER_CALL;
	}

	@Override
	public boolean maySend() {
		return this.request.maySend(this);
	}

	@Override
	public void onUnmatched(ResponseHead candidate, ResponseOwner owner) {
		TargetResponseHead unmatched = PlatformHeaders.decodeResponse(candidate);
		checkRefusalIdentity(unmatched);
		this.request.responseUnmatched(this, unmatched, owner);
	}

	// A refusal without an id is only known to be that of a request if its connection
	// carries no other.
	private void checkRefusalIdentity(TargetResponseHead candidate) {
		if (candidate.notRun() && candidate.requestId().isEmpty() && !this.requestId.isEmpty()) {
			this.pooledTarget.client().useConnectionsOnce();
		}
	}

	@Override
	public void onHead(ResponseHead receivedHead) {
		long now = System.nanoTime();
		recordProgress(now);
		TargetResponseHead receivedResponse = PlatformHeaders.decodeResponse(receivedHead);
		this.responseHead = receivedHead;
		this.response = receivedResponse;
		checkRefusalIdentity(receivedResponse);
		if (receivedResponse.runningRequests() >= 0) {
			this.load.recordResponseLoad(
					receivedResponse.runningRequests() + Math.max(0, receivedResponse.queuedRequests()), now);
		}
		boolean matched = !this.requestId.isEmpty() && this.requestId.equals(receivedResponse.requestId());
		if (this.pooledTarget.recordStatements(receivedResponse, matched, this.sentNanos, now)) {
			this.request.limitChanged(this);
		}
		if (receivedResponse.limit().kind() == LimitField.Kind.UNREADABLE
				|| !receivedResponse.unreadStatements().isEmpty()) {
			this.request.statementsUnread(this, receivedResponse);
		}
		this.load.version(receivedResponse.version());
		this.load.recordFirstByte(this, now);
		if (receivedHead.isCloseDelimited()) {
			this.pooledTarget.runCheck().prepare();
		}
	}

	@Override
	public void onBodyPart(ByteBuf data) {
		if (this.done) {
			return;
		}
		long now = System.nanoTime();
		TargetResponseHead currentResponse = Objects.requireNonNull(this.response);
		if (this.streaming && validSuccess(currentResponse)) {
			this.load.recordProgress(now);
			if (this.request.streamEvents(this, Objects.requireNonNull(this.responseHead), data)) {
				this.lastProgressNanos = now;
			}
			return;
		}
		recordProgress(now);
		if (this.bufferBudget.tryGrow(this.bufferedBody.readableBytes(), data.readableBytes())) {
			this.bufferedBody.writeBytes(data);
		}
		else {
			abortOversized("no room for more than " + this.bufferedBody.readableBytes() + " bytes");
		}
	}

	/**
	 * Cancels the attempt because its response exceeds a size limit.
	 * @param detail the exceeded limit
	 */
	void abortOversized(String detail) {
		HttpExchange openExchange = this.exchange;
		if (finish()) {
			if (openExchange != null) {
				openExchange.cancel(detail);
			}
			this.request.attemptFailed(this, HttpFailure.afterSending("read answer", this.target.address(), detail));
		}
	}

	@Override
	public void onEnd() {
		if (this.done) {
			return;
		}
		ResponseHead completedHead = Objects.requireNonNull(this.responseHead);
		TargetResponseHead completedResponse = Objects.requireNonNull(this.response);
		if (completedHead.isCloseDelimited() && !completedResponse.notRun()) {
			this.pooledTarget.runCheck()
				.runsAfter(System.nanoTime(), this.sentNanos, this.request.remaining())
				.thenAccept((runs) -> closeDelimitedEnded(completedResponse, completedHead, runs));
		}
		else if (finish()) {
			ended(completedResponse, completedHead);
		}
	}

	// The end of its connection is the only mark of such a response, and a crash of the
	// target ends the connection as well.
	private void closeDelimitedEnded(TargetResponseHead completedResponse, ResponseHead completedHead, boolean runs) {
		if (!finish()) {
			return;
		}
		if (runs) {
			ended(completedResponse, completedHead);
		}
		else {
			this.request.attemptFailed(this,
					new HttpFailure("read answer", this.target.address(),
							"an answer without a length ended and its target was not seen running after it", true,
							HttpFailure.Kind.CONNECTION_LOST));
		}
	}

	private void ended(TargetResponseHead completedResponse, ResponseHead completedHead) {
		boolean badRequest = completedResponse.status() == HttpResponseStatus.BAD_REQUEST.code();
		if (completedResponse.notRun() && badRequest && this.request.streamStarted()) {
			this.request.attemptNotRun(this, "remainder-refused", NotRunCause.REMAINDER_REFUSED);
		}
		else if (completedResponse.notRun() && badRequest) {
			// The request is at fault, so any other target would refuse it too.
			responseEnded(completedResponse, completedHead);
		}
		else if (completedResponse.notRun()) {
			if (completedResponse.misdirected()) {
				this.request.attemptNotRun(this, "another-target", NotRunCause.NOT_DELIVERED);
			}
			else {
				this.request.attemptNotRun(this, "target-refused", NotRunCause.TARGET_REFUSED);
			}
		}
		else if (completedResponse.isSuccess() && !validSuccess(completedResponse)) {
			this.request.attemptFailed(this, HttpFailure.afterSending("read answer", this.target.address(),
					"a success that the target has not signed or that is encoded"));
		}
		else {
			responseEnded(completedResponse, completedHead);
		}
	}

	private void responseEnded(TargetResponseHead completedResponse, ResponseHead completedHead) {
		if (this.streaming && completedResponse.isSuccess()) {
			this.request.streamEnded(this, completedHead);
		}
		else {
			byte[] bytes = new byte[this.bufferedBody.readableBytes()];
			this.bufferedBody.readBytes(bytes);
			this.request.responseReceived(this, completedResponse, completedHead, bytes);
		}
	}

	@Override
	public void onFailure(HttpFailure failure) {
		if (finish()) {
			if (failure.kind() == HttpFailure.Kind.CONNECTION_LOST) {
				this.pooledTarget.checkCrash();
			}
			if (failure.sent()) {
				this.request.attemptFailed(this, failure);
			}
			else if (failure.kind() == HttpFailure.Kind.CONNECTION_REFUSED) {
				this.load.recordConnectionRefused(System.nanoTime());
				this.request.attemptNotRun(this, failure.toString(), NotRunCause.CONNECTION_REFUSED);
			}
			else if (failure.kind() == HttpFailure.Kind.WITHDRAWN) {
				this.request.attemptNotRun(this, failure.toString(), NotRunCause.WITHDRAWN);
			}
			else {
				this.request.attemptNotRun(this, failure.toString(), NotRunCause.NOT_DELIVERED);
			}
		}
	}

	/**
	 * Cancels the attempt without notifying the request.
	 * @param reason reason for the cancellation
	 */
	void cancel(String reason) {
		if (finish()) {
			HttpExchange openExchange = this.exchange;
			if (openExchange != null) {
				openExchange.cancel(reason);
			}
		}
	}

	/**
	 * Returns whether the request may have reached the target.
	 * @return false while it waits for a connection
	 */
	boolean sent() {
		HttpExchange openExchange = this.exchange;
		return openExchange != null && openExchange.isSent();
	}

	void setReading(boolean enabled) {
		HttpExchange openExchange = this.exchange;
		if (openExchange != null && !this.done) {
			this.paused = !enabled;
			if (enabled) {
				this.lastProgressNanos = System.nanoTime();
				openExchange.resume();
			}
			else {
				openExchange.pause();
			}
		}
	}

	double predictedMs() {
		return this.predictedMs;
	}

	private static boolean validSuccess(TargetResponseHead candidate) {
		return candidate.isSuccess() && candidate.signed() && !candidate.contentEncoded();
	}

	private void recordProgress(long now) {
		this.lastProgressNanos = now;
		this.load.recordProgress(now);
	}

	private boolean finish() {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.bufferBudget.release(this.bufferedBody.readableBytes());
		this.load.recordDropped(this, System.nanoTime());
		this.load.ended();
		return true;
	}

}
