package org.baobabknot.agent;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.baobabknot.httpclient.AnswerHead;
import org.baobabknot.httpclient.Failure;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Hash128;

/**
 * One request after it was handed to the target, until its answer is passed on. A
 * non-idempotent request is not canceled when nobody waits for it any more: it runs to
 * the end, and its answer is recorded. Used on the event loop of its stream.
 */
final class HandedOver implements TargetCall.Events {

	/**
	 * Time that a request may take after its deadline if it is not canceled, so that its
	 * outcome can still be recorded.
	 */
	private static final long RECORDING_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final int SERVER_ERROR = 500;

	private final AgentParts parts;

	private final Stream stream;

	private final Hash128 id;

	private final boolean once;

	private final Running running;

	private final Runnable onDone;

	private final TargetCall call;

	private final AnswerBuffer answer = new AnswerBuffer();

	private int status;

	private long sent;

	private boolean attended = true;

	private boolean targetEnded;

	private boolean endPending;

	private boolean done;

	HandedOver(AgentParts parts, Stream stream, Hash128 id, boolean once, Running running, Runnable onDone) {
		this.parts = parts;
		this.stream = stream;
		this.id = id;
		this.once = once;
		this.running = running;
		this.onDone = onDone;
		this.call = new TargetCall(stream.eventLoop(), this);
	}

	void start(RequestStart start, List<ByteString> body, long bodyLength, long leftNanos) {
		long timeout = Math.max(1, leftNanos) + (runsToTheEnd() ? RECORDING_NANOS : 0);
		this.call.start(this.parts.target(), start, this.id.toString(), this.running.incarnation(), body, bodyLength,
				Duration.ofNanos(timeout));
	}

	void bodyPart(ByteString data) {
		int granted = this.call.write(data);
		if (granted > 0) {
			this.stream.recordConsumed(granted);
		}
	}

	void bodyEnded() {
		this.call.end();
	}

	@Override
	public void targetWritable() {
		int granted = this.call.takeUnacknowledged();
		if (granted > 0) {
			this.stream.recordConsumed(granted);
		}
	}

	@Override
	public void started(AnswerHead head) {
		this.running.firstByte();
		this.status = head.status();
		List<Map.Entry<String, String>> headers = Headers.fromTarget(head.headers());
		String version = head.header("X-Model-Version").orElse("");
		String digest = head.header("X-Model-Digest").orElse("");
		if (this.once) {
			this.answer.start(head.status(), headers, version, digest);
		}
		if (this.attended) {
			this.stream.send(Frame.newBuilder()
				.setResponseStart(
						Answers.start(head.status(), headers, version, digest).setLoad(this.parts.load().get())));
		}
	}

	@Override
	public void part(ByteString part) {
		if (this.once) {
			this.answer.part(part);
		}
		if (!this.attended) {
			return;
		}
		this.sent += part.size();
		this.parts.metrics().answered(part.size());
		this.stream.sendBody(part);
		if (!this.stream.isWritable()) {
			this.call.pause();
		}
	}

	void entryWritable() {
		this.call.resume();
		if (this.endPending) {
			this.endPending = false;
			sendEnd();
		}
	}

	@Override
	public void ended() {
		this.targetEnded = true;
		if (this.status >= SERVER_ERROR) {
			this.running.failed();
		}
		else {
			this.running.healthy();
		}
		if (this.once) {
			this.parts.record().finished(this.id, this.answer.result(), this.parts.node().now());
		}
		this.parts.metrics().ended("whole");
		if (!this.attended) {
			finish();
		}
		else if (this.stream.isWritable()) {
			sendEnd();
		}
		else {
			this.endPending = true;
		}
	}

	private void sendEnd() {
		this.stream.send(Answers.end(this.sent));
		finish();
	}

	@Override
	public void notRun(Failure failure) {
		this.targetEnded = true;
		this.running.neutral();
		this.parts.watch().pollSoon();
		if (this.once) {
			this.parts.record().notRun(this.id);
		}
		this.parts.metrics().refused(RefusalReason.REFUSED_UNAVAILABLE);
		if (this.attended) {
			Refusal refusal = Refusal.full(RefusalReason.REFUSED_UNAVAILABLE, failure.toString());
			this.stream.send(Answers.refused(refusal, this.parts.load().get()));
		}
		finish();
	}

	@Override
	public void failed(Failure failure) {
		this.targetEnded = true;
		releaseWhenCanceled();
		if (this.once) {
			this.parts.record().outcomeUnknown(this.id, this.parts.node().now());
		}
		this.parts.metrics().ended(this.once ? "unknown" : "failed");
		if (this.attended) {
			this.stream.send(Answers.failed(failure.step(), failure.peer(), failure.detail(), this.once));
		}
		finish();
	}

	// The slot is free only when the engine confirms that it does not run the request any
	// more; otherwise a cold engine could get more than its cold limit.
	private void releaseWhenCanceled() {
		if (!this.parts.watch().engine()) {
			release();
			return;
		}
		this.parts.target()
			.cancel(this.id.toString())
			.whenComplete((confirmed, error) -> this.stream.eventLoop().execute(this::release));
	}

	private void release() {
		if (this.attended) {
			this.running.failed();
		}
		else {
			this.running.neutral();
		}
	}

	/**
	 * The entry does not wait for the answer any more.
	 * @param reason why
	 * @param bodyWhole whether the whole body of the request has arrived
	 */
	void entryGone(String reason, boolean bodyWhole) {
		if (!this.attended) {
			return;
		}
		this.attended = false;
		this.endPending = false;
		if (this.targetEnded) {
			finish();
		}
		else if (bodyWhole && runsToTheEnd()) {
			this.call.resume();
		}
		else {
			this.call.cancel(reason);
		}
	}

	/**
	 * The deadline passed. An answer that has begun is cut off.
	 * @param bodyWhole whether the whole body of the request has arrived
	 */
	void deadlinePassed(boolean bodyWhole) {
		if (this.done || !this.attended) {
			return;
		}
		this.stream.send(Answers.failed("deadline", this.parts.node().settings().instance(),
				"deadline passed while the target ran the request", this.once));
		entryGone("deadline passed", bodyWhole);
	}

	// A plain service cannot be told to cancel, so its slot stays taken.
	private boolean runsToTheEnd() {
		return this.once || !this.parts.watch().engine();
	}

	private void finish() {
		if (!this.done) {
			this.done = true;
			this.onDone.run();
		}
	}

}
