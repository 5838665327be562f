package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.util.concurrent.ScheduledFuture;
import org.baobabknot.admission.AdmissionDecision;
import org.baobabknot.admission.QueuedRequest;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Claim;
import org.baobabknot.record.ClaimCommand;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.RegistrationResult;
import org.baobabknot.record.Resolution;
import org.baobabknot.record.StoredResponse;
import org.baobabknot.rules.RuleSet;
import org.jspecify.annotations.Nullable;

/**
 * One request from its arrival until it is sent to the target: checks, records, claims
 * and queues it, and forwards later events of its stream. Used on the event loop of its
 * stream, except where noted.
 */
final class AgentRequest implements FrameHandler, AdmissionListener, ClaimExecutor.ClaimListener {

	/**
	 * A non-idempotent request is buffered until its whole body or this many bytes have
	 * arrived, so that a lost entry does not leave a partial request at the target. Half
	 * of the initial credit, because a larger body cannot arrive before its first part is
	 * passed on.
	 */
	private static final int MAX_BUFFERED_BODY_BYTES = 128 * 1024;

	private final AgentContext context;

	private final Stream stream;

	private final RequestStart start;

	private final long startNanos;

	private final long deadlineNanos;

	private final List<ByteString> body = new ArrayList<>();

	private final ScheduledFuture<?> deadline;

	private long bodyLength;

	private boolean bodyEnded;

	private Phase phase = Phase.CHECKING;

	private boolean usesRecord;

	private Hash128 id = new Hash128(0, 0);

	private @Nullable QueuedRequest<AdmissionListener> queued;

	private @Nullable RunningRequest runningRequest;

	AgentRequest(AgentContext context, Stream stream, RequestStart start) {
		this.context = context;
		this.stream = stream;
		this.start = start;
		long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(start.getTimeoutMs()));
		this.startNanos = context.node().nowNanos();
		this.deadlineNanos = this.startNanos + timeoutNanos;
		this.deadline = stream.eventLoop().schedule(this::onDeadline, timeoutNanos, TimeUnit.NANOSECONDS);
	}

	void begin() {
		this.context.openRequests().add(this);
		this.context.node().pauseGate().runWhenOpen(() -> runOnEventLoop(this::requireRules));
	}

	private void requireRules() {
		if (this.start.getRulesRevision() <= this.context.node().configuration().revision()) {
			checkRequest();
			return;
		}
		this.context.node()
			.revisionSource()
			.ensureRevision(this.stream.connection().peerName(), this.start.getRulesRevision())
			.whenComplete((nothing, error) -> runOnEventLoop(this::checkRequest));
	}

	private void checkRequest() {
		if (this.phase != Phase.CHECKING) {
			return;
		}
		Optional<Refusal> refusal = RequestChecks.refusal(this.start, this.context.node(), this.context.service());
		if (refusal.isEmpty()) {
			refusal = this.context.admission().immediateRefusal(this.start.getWorkspace());
		}
		if (refusal.isPresent()) {
			refuse(refusal.get());
			return;
		}
		this.id = Hash128.of(this.start.getRequestId().toByteArray());
		this.usesRecord = RequestChecks.isNonIdempotent(this.start, this.context.node().configuration().rules());
		if (!this.usesRecord) {
			enqueue();
			return;
		}
		this.phase = Phase.READING;
		recordWhenBodyRead();
	}

	private void recordWhenBodyRead() {
		if (this.phase != Phase.READING || !(this.bodyEnded || this.bodyLength >= MAX_BUFFERED_BODY_BYTES)) {
			return;
		}
		this.phase = Phase.RECORDED;
		Hash128 key = key();
		ByteString fingerprintBytes = this.start.getFingerprint();
		Hash128 fingerprint = (fingerprintBytes.size() >= Hash128.BYTES) ? Hash128.of(fingerprintBytes.toByteArray())
				: this.id;
		RegistrationResult begin = this.context.record()
			.register(this.id, key, fingerprint, this.context.node().nowNanos());
		if (!(begin instanceof RegistrationResult.Registered)) {
			this.usesRecord = false;
			respondFromRecord(begin);
		}
		else if (key != null) {
			this.context.claims().claim(this.id, key, this);
		}
		else {
			enqueue();
		}
	}

	private @Nullable Hash128 key() {
		String key = this.start.getIdempotencyKey();
		return key.isEmpty() ? null : Hash128.digest(this.context.service(), this.start.getWorkspace(), key);
	}

	private void respondFromRecord(RegistrationResult begin) {
		if (begin instanceof RegistrationResult.Ran ran) {
			replay(ran.response());
		}
		else if (begin instanceof RegistrationResult.OutcomeUnknown) {
			fail("run earlier", "the outcome of the first attempt is not known", true);
		}
		else if (begin instanceof RegistrationResult.Running) {
			refuse(Refusal.retryLater(RefusalReason.KEY_RUNNING, "the same request is running"));
		}
		else if (begin instanceof RegistrationResult.Tombstoned) {
			refuse(Refusal.of(RefusalReason.TOMBSTONED, "resolved as not run before"));
		}
		else if (begin instanceof RegistrationResult.KeyReused) {
			refuse(Refusal.of(RefusalReason.KEY_REUSED, "the key was used for another request"));
		}
		else {
			refuse(Refusal.retryLater(RefusalReason.QUEUE_FULL, "the record of requests is full"));
		}
	}

	private void replay(StoredResponse result) {
		if (!result.replayable()) {
			fail("replay answer", "the request ran and its answer is no longer kept", true);
			return;
		}
		ResponseFrames.replay(result, this.context.load().get(), this.stream);
		this.context.metrics().recordOutcome("replayed");
		finish("replayed", "");
	}

	@Override
	public void onGranted() {
		runOnEventLoop(() -> {
			if (this.phase == Phase.RECORDED) {
				this.context.record().markClaimed(this.id);
				enqueue();
			}
		});
	}

	@Override
	public void onDenied(ClaimCommand.DenialReason reason) {
		runOnEventLoop(
				() -> refuse(Refusal.retryLater(RefusalReason.CLAIM_UNAVAILABLE, "claim of the key: " + reason)));
	}

	@Override
	public void onClaimedElsewhere(Claim claim, Resolution resolution) {
		runOnEventLoop(() -> {
			if (this.phase != Phase.RECORDED) {
				return;
			}
			this.context.record().removeRefused(this.id);
			this.usesRecord = false;
			if (resolution instanceof Resolution.Ran ran) {
				replay(ran.response());
			}
			else if (resolution instanceof Resolution.Running) {
				refuse(Refusal.retryLater(RefusalReason.KEY_RUNNING, "the key is running at " + claim.instance()));
			}
			else {
				fail("resolve key", "claimed by " + claim.instance() + ", which cannot tell the outcome", true);
			}
		});
	}

	private void enqueue() {
		this.phase = Phase.QUEUED;
		RuleSet rules = this.context.node().configuration().rules();
		QueuedRequest<AdmissionListener> entry = new QueuedRequest<>(this.start.getWorkspace(),
				RequestChecks.priority(this.start, rules), Math.max(1, rules.share(this.start.getWorkspace())),
				this.deadlineNanos, this);
		this.queued = entry;
		this.context.admission().offer(entry);
	}

	/** Called on any thread. */
	@Override
	public void onAdmitted(AdmissionDecision.Admitted decision) {
		runOnEventLoop(() -> startOnTarget(decision));
	}

	/** Called on any thread. */
	@Override
	public void onRefused(Refusal refusal) {
		runOnEventLoop(() -> refuse(refusal));
	}

	private void startOnTarget(AdmissionDecision.Admitted decision) {
		RequestSlot slot = new RequestSlot(this.context, decision);
		if (this.phase != Phase.QUEUED) {
			slot.releaseNeutral();
			return;
		}
		if (this.usesRecord && !this.context.record().tryHandOver(this.id)) {
			slot.releaseNeutral();
			this.usesRecord = false;
			refuse(Refusal.of(RefusalReason.TOMBSTONED, "resolved as not run before"));
			return;
		}
		this.phase = Phase.HANDED_OVER;
		RunningRequest request = new RunningRequest(this.context, this.stream, this.id, this.usesRecord, slot,
				this::finish);
		this.runningRequest = request;
		long length = this.bodyEnded ? this.bodyLength : TargetHeaders.contentLength(this.start.getHeadersList());
		request.start(this.start, this.body, length, this.deadlineNanos - this.context.node().nowNanos());
		if (this.bodyEnded) {
			request.endBody();
		}
		else {
			this.stream.recordConsumed((int) this.bodyLength);
		}
		this.body.clear();
	}

	@Override
	public void onFrame(Stream from, Frame frame) {
		switch (frame.getBodyCase()) {
			case BODY_PART -> addBodyPart(frame.getBodyPart().getData());
			case BODY_END -> endBody(frame.getBodyEnd().getLength());
			case CANCEL -> cancel(frame.getCancel().getReason());
			default -> cancel("unexpected " + frame.getBodyCase());
		}
	}

	private void addBodyPart(ByteString data) {
		this.bodyLength += data.size();
		RunningRequest current = this.runningRequest;
		if (current != null) {
			current.writeBodyPart(data);
		}
		else if (this.phase != Phase.DONE) {
			this.body.add(data);
			recordWhenBodyRead();
		}
	}

	private void endBody(long announcedLength) {
		if (announcedLength != this.bodyLength) {
			cancel("body of " + this.bodyLength + " bytes, announced were " + announcedLength);
			return;
		}
		this.bodyEnded = true;
		RunningRequest current = this.runningRequest;
		if (current != null) {
			current.endBody();
		}
		else {
			recordWhenBodyRead();
		}
	}

	@Override
	public void onWritable(Stream on) {
		if (this.runningRequest != null) {
			this.runningRequest.onEntryWritable();
		}
	}

	@Override
	public void onConnectionLost(Stream from, ConnectionFailure failure) {
		cancel(failure.toString());
	}

	// A canceled request that was not sent to the target ends without a response, because
	// the entry no longer waits for one.
	private void cancel(String reason) {
		if (this.phase == Phase.DONE) {
			return;
		}
		if (this.runningRequest != null) {
			this.runningRequest.abandonResponse(reason, this.bodyEnded);
			return;
		}
		withdraw();
		this.context.metrics().recordOutcome("canceled");
		finish("canceled", reason);
	}

	private void onDeadline() {
		if (this.runningRequest != null) {
			this.runningRequest.onDeadline(this.bodyEnded);
		}
		else {
			refuse(Refusal.of(RefusalReason.DEADLINE_PASSED, "deadline passed before the request was handed over"));
		}
	}

	private void refuse(Refusal refusal) {
		if (this.phase == Phase.DONE || this.phase == Phase.HANDED_OVER) {
			return;
		}
		withdraw();
		this.context.metrics().recordRefusal(refusal.reason());
		this.stream.send(ResponseFrames.refused(refusal, this.context.load().get()));
		finish("refused", refusal.reason() + ": " + refusal.detail());
	}

	private void fail(String step, String detail, boolean outcomeUnknown) {
		String outcome = (outcomeUnknown) ? "unknown" : "failed";
		this.context.metrics().recordOutcome(outcome);
		this.stream
			.send(ResponseFrames.failed(step, this.context.node().settings().instance(), detail, outcomeUnknown));
		finish(outcome, step + ": " + detail);
	}

	// The record is withdrawn last, so that no claim is granted for a request that is not
	// in the record.
	private void withdraw() {
		if (this.queued != null) {
			this.context.admission().tryRemove(this.queued);
		}
		if (this.usesRecord && this.phase != Phase.CHECKING && this.phase != Phase.READING) {
			this.context.claims().withdraw(this.id);
			this.context.record().removeRefused(this.id);
		}
	}

	/**
	 * Ends the request because the process ends. Called on any thread.
	 */
	void processEnding() {
		runOnEventLoop(() -> {
			if (this.runningRequest != null) {
				this.runningRequest.processEnding();
			}
			else {
				refuse(Refusal.of(RefusalReason.REFUSED_LEAVING, "the agent ended before the request was handed over"));
			}
		});
	}

	private void finish(String outcome, String detail) {
		if (this.phase == Phase.DONE) {
			return;
		}
		this.phase = Phase.DONE;
		this.context.log()
			.requestEnded(this.start, this.stream.connection().peerName(), outcome, detail,
					this.context.node().nowNanos() - this.startNanos);
		this.deadline.cancel(false);
		this.body.clear();
		this.stream.close();
		this.context.openRequests().remove(this);
	}

	private void runOnEventLoop(Runnable task) {
		if (this.stream.eventLoop().inEventLoop()) {
			task.run();
		}
		else {
			this.stream.eventLoop().execute(task);
		}
	}

	private enum Phase {

		CHECKING, READING, RECORDED, QUEUED, HANDED_OVER, DONE

	}

}
