package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.util.concurrent.ScheduledFuture;
import org.baobabknot.admission.Decision;
import org.baobabknot.admission.Waiting;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Begin;
import org.baobabknot.record.Claim;
import org.baobabknot.record.ClaimCommand;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.Resolution;
import org.baobabknot.record.StoredResult;
import org.baobabknot.rules.RuleSet;
import org.jspecify.annotations.Nullable;

/**
 * One request until it is handed to the target. Used on the event loop of its stream,
 * except where said otherwise.
 */
final class AgentRequest implements FrameHandler, Candidate, Claims.Claimant {

	/**
	 * A non-idempotent request waits for its whole body, so that a lost entry does not
	 * leave half of it at the target. Half of the initial credit, because larger bodies
	 * cannot arrive before the first part is handed on.
	 */
	private static final int WHOLE_BODY_BYTES = 128 * 1024;

	private final AgentParts parts;

	private final Stream stream;

	private final RequestStart start;

	private final long deadlineNanos;

	private final List<ByteString> body = new ArrayList<>();

	private final ScheduledFuture<?> deadline;

	private long bodyLength;

	private boolean bodyEnded;

	private Phase phase = Phase.CHECKING;

	private boolean once;

	private Hash128 id = new Hash128(0, 0);

	private @Nullable Waiting<Candidate> waiting;

	private @Nullable HandedOver handedOver;

	AgentRequest(AgentParts parts, Stream stream, RequestStart start) {
		this.parts = parts;
		this.stream = stream;
		this.start = start;
		long timeout = TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(start.getTimeoutMs()));
		this.deadlineNanos = parts.node().now() + timeout;
		this.deadline = stream.eventLoop().schedule(this::deadlinePassed, timeout, TimeUnit.NANOSECONDS);
	}

	void begin() {
		this.parts.open().add(this);
		this.parts.node().pauses().run(() -> onLoop(this::adoptRules));
	}

	private void adoptRules() {
		if (this.start.getRulesRevision() <= this.parts.node().configuration().revision()) {
			check();
			return;
		}
		this.parts.node()
			.rules()
			.require(this.stream.connection().peerName(), this.start.getRulesRevision())
			.whenComplete((nothing, error) -> onLoop(this::check));
	}

	private void check() {
		if (this.phase != Phase.CHECKING) {
			return;
		}
		Optional<Refusal> refusal = RequestChecks.refusal(this.start, this.parts.node(), this.parts.service());
		if (refusal.isEmpty()) {
			refusal = this.parts.admission().refusal(this.start.getWorkspace());
		}
		if (refusal.isPresent()) {
			refuse(refusal.get());
			return;
		}
		this.id = Hash128.of(this.start.getRequestId().toByteArray());
		this.once = RequestChecks.once(this.start, this.parts.node().configuration().rules());
		if (!this.once) {
			enqueue();
			return;
		}
		this.phase = Phase.READING;
		recordWhenRead();
	}

	private void recordWhenRead() {
		if (this.phase != Phase.READING || !(this.bodyEnded || this.bodyLength >= WHOLE_BODY_BYTES)) {
			return;
		}
		this.phase = Phase.RECORDED;
		Hash128 key = key();
		ByteString print = this.start.getFingerprint();
		Hash128 fingerprint = (print.size() >= Hash128.BYTES) ? Hash128.of(print.toByteArray()) : this.id;
		Begin begin = this.parts.record().begin(this.id, key, fingerprint, this.parts.node().now());
		if (!(begin instanceof Begin.Fresh)) {
			this.once = false;
			answerKnown(begin);
		}
		else if (key != null) {
			this.parts.claims().claim(this.id, key, this);
		}
		else {
			enqueue();
		}
	}

	private @Nullable Hash128 key() {
		String key = this.start.getIdempotencyKey();
		return key.isEmpty() ? null : Hash128.digest(this.parts.service(), this.start.getWorkspace(), key);
	}

	private void answerKnown(Begin begin) {
		if (begin instanceof Begin.Ran ran) {
			replay(ran.result());
		}
		else if (begin instanceof Begin.OutcomeUnknown) {
			fail("run earlier", "the outcome of the first attempt is not known", true);
		}
		else if (begin instanceof Begin.Running) {
			refuse(Refusal.full(RefusalReason.KEY_RUNNING, "the same request is running"));
		}
		else if (begin instanceof Begin.Tombstoned) {
			refuse(Refusal.of(RefusalReason.TOMBSTONED, "resolved as not run before"));
		}
		else if (begin instanceof Begin.KeyReused) {
			refuse(Refusal.of(RefusalReason.KEY_REUSED, "the key was used for another request"));
		}
		else {
			refuse(Refusal.full(RefusalReason.QUEUE_FULL, "the record of requests is full"));
		}
	}

	private void replay(StoredResult result) {
		if (!result.replayable()) {
			fail("replay answer", "the request ran and its answer is no longer kept", true);
			return;
		}
		Answers.replay(result, this.parts.load().get(), this.stream);
		this.parts.metrics().ended("replayed");
		done();
	}

	@Override
	public void granted() {
		onLoop(() -> {
			if (this.phase == Phase.RECORDED) {
				this.parts.record().claimed(this.id);
				enqueue();
			}
		});
	}

	@Override
	public void denied(ClaimCommand.DenialReason reason) {
		onLoop(() -> refuse(Refusal.full(RefusalReason.CLAIM_UNAVAILABLE, "claim of the key: " + reason)));
	}

	@Override
	public void claimedElsewhere(Claim claim, Resolution resolution) {
		onLoop(() -> {
			if (this.phase != Phase.RECORDED) {
				return;
			}
			this.parts.record().withdrawn(this.id);
			this.once = false;
			if (resolution instanceof Resolution.Ran ran) {
				replay(ran.result());
			}
			else if (resolution instanceof Resolution.Running) {
				refuse(Refusal.full(RefusalReason.KEY_RUNNING, "the key is running at " + claim.instance()));
			}
			else {
				fail("resolve key", "claimed by " + claim.instance() + ", which cannot tell the outcome", true);
			}
		});
	}

	private void enqueue() {
		this.phase = Phase.QUEUED;
		RuleSet rules = this.parts.node().configuration().rules();
		Waiting<Candidate> queued = new Waiting<>(this.start.getWorkspace(), RequestChecks.priority(this.start, rules),
				Math.max(1, rules.share(this.start.getWorkspace())), this.deadlineNanos, this);
		this.waiting = queued;
		this.parts.admission().offer(queued);
	}

	/** Called on any thread. */
	@Override
	public void admitted(Decision.Admitted decision) {
		onLoop(() -> handOver(decision));
	}

	/** Called on any thread. */
	@Override
	public void refused(Refusal refusal) {
		onLoop(() -> refuse(refusal));
	}

	private void handOver(Decision.Admitted decision) {
		Running running = new Running(this.parts, decision);
		if (this.phase != Phase.QUEUED) {
			running.neutral();
			return;
		}
		if (this.once && !this.parts.record().tryHandOver(this.id)) {
			running.neutral();
			this.once = false;
			refuse(Refusal.of(RefusalReason.TOMBSTONED, "resolved as not run before"));
			return;
		}
		this.phase = Phase.HANDED_OVER;
		HandedOver next = new HandedOver(this.parts, this.stream, this.id, this.once, running, this::done);
		this.handedOver = next;
		long length = this.bodyEnded ? this.bodyLength : Headers.contentLength(this.start.getHeadersList());
		next.start(this.start, this.body, length, this.deadlineNanos - this.parts.node().now());
		if (this.bodyEnded) {
			next.bodyEnded();
		}
		else {
			this.stream.recordConsumed((int) this.bodyLength);
		}
		this.body.clear();
	}

	@Override
	public void onFrame(Stream from, Frame frame) {
		switch (frame.getBodyCase()) {
			case BODY_PART -> bodyPart(frame.getBodyPart().getData());
			case BODY_END -> bodyEnd(frame.getBodyEnd().getLength());
			case CANCEL -> cancel(frame.getCancel().getReason());
			default -> cancel("unexpected " + frame.getBodyCase());
		}
	}

	private void bodyPart(ByteString data) {
		this.bodyLength += data.size();
		HandedOver open = this.handedOver;
		if (open != null) {
			open.bodyPart(data);
		}
		else if (this.phase != Phase.DONE) {
			this.body.add(data);
			recordWhenRead();
		}
	}

	private void bodyEnd(long announced) {
		if (announced != this.bodyLength) {
			cancel("body of " + this.bodyLength + " bytes, announced were " + announced);
			return;
		}
		this.bodyEnded = true;
		HandedOver open = this.handedOver;
		if (open != null) {
			open.bodyEnded();
		}
		else {
			recordWhenRead();
		}
	}

	@Override
	public void onWritable(Stream on) {
		if (this.handedOver != null) {
			this.handedOver.entryWritable();
		}
	}

	@Override
	public void onConnectionLost(Stream from, Failure failure) {
		cancel(failure.toString());
	}

	// A request that was not handed over ends without an answer, because
	// nobody waits for it.
	private void cancel(String reason) {
		if (this.phase == Phase.DONE) {
			return;
		}
		if (this.handedOver != null) {
			this.handedOver.entryGone(reason, this.bodyEnded);
			return;
		}
		withdraw();
		this.parts.metrics().ended("canceled");
		done();
	}

	private void deadlinePassed() {
		if (this.handedOver != null) {
			this.handedOver.deadlinePassed(this.bodyEnded);
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
		this.parts.metrics().refused(refusal.reason());
		this.stream.send(Answers.refused(refusal, this.parts.load().get()));
		done();
	}

	private void fail(String step, String detail, boolean unknown) {
		this.parts.metrics().ended(unknown ? "unknown" : "failed");
		this.stream.send(Answers.failed(step, this.parts.node().settings().instance(), detail, unknown));
		done();
	}

	// Order matters: the record is withdrawn last, so that no claim is granted for a
	// request that it does not know.
	private void withdraw() {
		if (this.waiting != null) {
			this.parts.admission().tryRemove(this.waiting);
		}
		if (this.once && this.phase != Phase.CHECKING && this.phase != Phase.READING) {
			this.parts.claims().withdraw(this.id);
			this.parts.record().withdrawn(this.id);
		}
	}

	private void done() {
		this.phase = Phase.DONE;
		this.deadline.cancel(false);
		this.body.clear();
		this.stream.close();
		this.parts.open().remove(this);
	}

	private void onLoop(Runnable task) {
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
