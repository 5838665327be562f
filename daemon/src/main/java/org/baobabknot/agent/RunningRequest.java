package org.baobabknot.agent;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.google.protobuf.ByteString;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Hash128;

/**
 * One request from the moment it is sent to the target until its response has been passed
 * on. A non-idempotent request whose whole body has arrived is not canceled when the
 * entry stops waiting: it runs to completion, and its response is recorded. Used on the
 * event loop of its stream.
 */
final class RunningRequest implements TargetCall.Listener {

	/**
	 * Additional time after the deadline for a request that is not canceled, so that its
	 * outcome can still be recorded.
	 */
	private static final long RECORDING_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	/** Interval at which a cancellation that the engine has not confirmed is repeated. */
	private static final long CANCEL_INTERVAL_MS = 200;

	private final AgentContext context;

	private final Stream stream;

	private final Hash128 id;

	private final boolean nonIdempotent;

	private final RequestSlot slot;

	private final BiConsumer<String, String> onFinished;

	private final TargetCall call;

	private final ResponseBuffer responseBuffer = new ResponseBuffer();

	private int status;

	private long sentBytes;

	private boolean responseExpected = true;

	/** Why the entry no longer waits, empty while it does. */
	private String abandonReason = "";

	private boolean targetCompleted;

	private boolean endPending;

	private boolean finished;

	RunningRequest(AgentContext context, Stream stream, Hash128 id, boolean nonIdempotent, RequestSlot slot,
			BiConsumer<String, String> onFinished) {
		this.context = context;
		this.stream = stream;
		this.id = id;
		this.nonIdempotent = nonIdempotent;
		this.slot = slot;
		this.onFinished = onFinished;
		this.call = new TargetCall(stream.eventLoop(), this);
	}

	void start(RequestStart start, List<ByteString> body, long bodyLength, long remainingNanos) {
		long timeoutNanos = Math.max(1, remainingNanos) + (runsToCompletion() ? RECORDING_TIMEOUT_NANOS : 0);
		this.call.start(this.context.target(), start, this.id.toString(), this.slot.incarnation(), body, bodyLength,
				Duration.ofNanos(timeoutNanos));
	}

	void writeBodyPart(ByteString data) {
		int creditBytes = this.call.write(data);
		if (creditBytes > 0) {
			this.stream.recordConsumed(creditBytes);
		}
	}

	void endBody() {
		this.call.end();
	}

	@Override
	public void onTargetWritable() {
		int creditBytes = this.call.takeUnacknowledgedBytes();
		if (creditBytes > 0) {
			this.stream.recordConsumed(creditBytes);
		}
	}

	@Override
	public void onResponseStart(ResponseHead head) {
		this.slot.recordFirstByte();
		this.status = head.status();
		List<Map.Entry<String, String>> headers = TargetHeaders.responseHeaders(head.headers());
		String version = head.header("X-Model-Version").orElse("");
		String digest = head.header("X-Model-Digest").orElse("");
		if (this.nonIdempotent) {
			this.responseBuffer.start(head.status(), headers, version, digest);
		}
		if (this.responseExpected) {
			this.stream.send(Frame.newBuilder()
				.setResponseStart(ResponseFrames.start(head.status(), headers, version, digest)
					.setLoad(this.context.load().get())));
		}
	}

	@Override
	public void onResponsePart(ByteString part) {
		if (this.nonIdempotent) {
			this.responseBuffer.addPart(part);
		}
		if (!this.responseExpected) {
			return;
		}
		this.sentBytes += part.size();
		this.context.metrics().recordResponseBytes(part.size());
		this.stream.sendBody(part);
		if (!this.stream.isWritable()) {
			this.call.pause();
		}
	}

	void onEntryWritable() {
		this.call.resume();
		if (this.endPending) {
			this.endPending = false;
			sendEnd();
		}
	}

	@Override
	public void onResponseEnd() {
		this.targetCompleted = true;
		if (this.status >= MIN_SERVER_ERROR_STATUS) {
			this.slot.releaseFailed();
		}
		else {
			this.slot.releaseHealthy();
		}
		if (this.nonIdempotent) {
			this.context.record().storeResponse(this.id, this.responseBuffer.result(), this.context.node().nowNanos());
		}
		this.context.metrics().recordOutcome("whole");
		if (!this.responseExpected) {
			finish("abandoned", this.abandonReason);
		}
		else if (this.stream.isWritable()) {
			sendEnd();
		}
		else {
			this.endPending = true;
		}
	}

	private void sendEnd() {
		this.stream.send(ResponseFrames.end(this.sentBytes));
		finish("whole", "");
	}

	@Override
	public void onNotRun(HttpFailure failure) {
		this.targetCompleted = true;
		this.slot.releaseNeutral();
		this.context.monitor().requestPoll();
		if (this.nonIdempotent) {
			this.context.record().removeNotRun(this.id);
		}
		this.context.metrics().recordRefusal(RefusalReason.REFUSED_UNAVAILABLE);
		if (this.responseExpected) {
			Refusal refusal = Refusal.retryLater(RefusalReason.REFUSED_UNAVAILABLE, failure.toString());
			this.stream.send(ResponseFrames.refused(refusal, this.context.load().get()));
		}
		finish("refused", failure.toString());
	}

	@Override
	public void onFailure(HttpFailure failure) {
		this.targetCompleted = true;
		cancelAndRelease();
		if (this.nonIdempotent) {
			this.context.record().markOutcomeUnknown(this.id, this.context.node().nowNanos());
		}
		String outcome = (this.nonIdempotent) ? "unknown" : "failed";
		this.context.metrics().recordOutcome(outcome);
		if (this.responseExpected) {
			this.stream
				.send(ResponseFrames.failed(failure.step(), failure.peer(), failure.detail(), this.nonIdempotent));
		}
		finish(outcome, (this.responseExpected) ? failure.toString() : this.abandonReason);
	}

	// The slot is free only when the engine confirms that it no longer runs the request;
	// otherwise a cold engine could exceed its cold limit.
	private void cancelAndRelease() {
		if (!this.context.monitor().isEngine()) {
			release();
			return;
		}
		this.context.target().cancel(this.id.toString()).whenComplete((confirmed, error) -> {
			if (error == null && confirmed) {
				this.stream.eventLoop().execute(this::release);
			}
			else {
				this.stream.eventLoop().schedule(this::cancelAndRelease, CANCEL_INTERVAL_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void release() {
		if (this.responseExpected) {
			this.slot.releaseFailed();
		}
		else {
			this.slot.releaseNeutral();
		}
	}

	/**
	 * Stops passing on the response because the entry no longer waits for it.
	 * @param reason why the entry no longer waits
	 * @param bodyComplete whether the whole body of the request has arrived
	 */
	void abandonResponse(String reason, boolean bodyComplete) {
		if (!this.responseExpected) {
			return;
		}
		this.responseExpected = false;
		this.endPending = false;
		this.abandonReason = reason;
		if (this.targetCompleted) {
			finish("abandoned", reason);
		}
		else if (bodyComplete && runsToCompletion()) {
			this.call.resume();
		}
		else {
			this.call.cancel(reason);
		}
	}

	/**
	 * Fails the request because its deadline has passed. A response that has started is
	 * truncated.
	 * @param bodyComplete whether the whole body of the request has arrived
	 */
	void onDeadline(boolean bodyComplete) {
		if (this.finished || !this.responseExpected) {
			return;
		}
		this.stream.send(ResponseFrames.failed("deadline", this.context.node().settings().instance(),
				"deadline passed while the target ran the request", this.nonIdempotent));
		abandonResponse("deadline passed", bodyComplete);
	}

	/**
	 * Ends the request because the process ends. What its target does with it is not
	 * known from then on.
	 */
	void processEnding() {
		if (this.finished) {
			return;
		}
		String detail = (this.responseExpected) ? "the agent ended before the response was complete"
				: this.abandonReason;
		if (this.responseExpected) {
			this.responseExpected = false;
			this.stream.send(ResponseFrames.failed("shutdown", this.context.node().settings().instance(), detail,
					this.nonIdempotent));
		}
		String outcome = (this.nonIdempotent) ? "unknown" : "failed";
		this.context.metrics().recordOutcome(outcome);
		finish(outcome, detail);
	}

	// A plain service does not support cancellation, so the slot stays in use until the
	// request ends.
	private boolean runsToCompletion() {
		return this.nonIdempotent || !this.context.monitor().isEngine();
	}

	private void finish(String outcome, String detail) {
		if (!this.finished) {
			this.finished = true;
			this.onFinished.accept(outcome, detail);
		}
	}

}
