package org.baobabknot.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.Failed;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Outcome;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.Refused;
import org.baobabknot.protocol.generated.Resolution;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.retry.AttemptOutcome;
import org.baobabknot.retry.RetryDecision;
import org.jspecify.annotations.Nullable;

/**
 * One request from its head to the end of its answer, over all attempts. Used on the
 * caller's event loop only.
 */
final class Exchange {

	// Interval of questions about a request that still runs.
	private static final long RESOLVE_AGAIN_MS = 100;

	// A lost connection is replaced within the round trips of TCP and TLS; an agent that
	// does not come back in this time has failed.
	private static final long RECONNECT_MS = 3_000;

	private static final int SERVER_ERROR = 500;

	private final Forwarding forwarding;

	private final Caller caller;

	private final CallerRequest request;

	private final RequestBody body;

	private final Candidates candidates;

	private final ScheduledFuture<?> deadline;

	private @Nullable Attempt attempt;

	private @Nullable Problem refusal;

	private int attempts;

	private int status;

	/** Content-Length of the answer, -1 without one. */
	private long announced = -1;

	/** Incarnation of the agent that got the last attempt. */
	private long incarnation;

	private boolean begun;

	private boolean waitingForCredit;

	private boolean answerStarted;

	private boolean mayHaveRun;

	private boolean done;

	Exchange(Forwarding forwarding, Caller caller, CallerRequest request) {
		this.forwarding = forwarding;
		this.caller = caller;
		this.request = request;
		this.body = new RequestBody(request.claimed());
		this.candidates = new Candidates(forwarding, request, this.body);
		long left = Math.max(0, request.deadlineNanos() - forwarding.now());
		this.deadline = caller.eventLoop().schedule(this::deadlinePassed, left, TimeUnit.NANOSECONDS);
	}

	CallerRequest request() {
		return this.request;
	}

	boolean done() {
		return this.done;
	}

	/**
	 * Takes a part of the request body.
	 * @param part bytes, may be empty
	 * @param last whether the body ends with this part
	 */
	void body(ByteString part, boolean last) {
		if (this.done) {
			return;
		}
		this.body.add(part);
		if (last) {
			this.body.end();
		}
		if (!this.begun) {
			begin();
			return;
		}
		Attempt open = this.attempt;
		if (open != null && !open.resolving()) {
			if (!part.isEmpty()) {
				open.stream().sendBody(part);
			}
			this.body.sent();
			if (last) {
				this.body.sendEnd(open.stream());
			}
		}
		readMore();
	}

	/**
	 * The caller's connection is gone.
	 */
	void callerGone() {
		end("caller-gone", "caller gone");
	}

	/**
	 * The request is answered with a problem found while its body was read.
	 * @param problem the problem
	 */
	void refuse(Problem problem) {
		if (this.done) {
			return;
		}
		end("refused", "refused by the entry");
		if (this.answerStarted) {
			this.caller.abortAnswer();
		}
		else {
			this.caller.answer(problem, this.request.idText());
		}
	}

	void received(Attempt from, Frame frame) {
		if (from != this.attempt || this.done) {
			return;
		}
		switch (frame.getBodyCase()) {
			case RESPONSE_START -> started(from, frame.getResponseStart());
			case BODY_PART -> part(from, frame.getBodyPart().getData());
			case BODY_END -> ended(from, frame.getBodyEnd());
			case REFUSED -> refused(from, frame.getRefused());
			case FAILED -> failed(from, frame.getFailed());
			case RESOLUTION -> resolved(from, frame.getResolution());
			default -> broken(from, "unexpected " + frame.getBodyCase());
		}
	}

	void writable(Attempt from) {
		if (from == this.attempt && this.waitingForCredit) {
			this.waitingForCredit = false;
			readMore();
		}
	}

	void lost(Attempt from, Failure failure) {
		if (from != this.attempt || this.done) {
			return;
		}
		finish(from, false);
		this.mayHaveRun = true;
		decide(from, AttemptOutcome.CONNECTION_LOST, failure.toString());
	}

	private void begin() {
		// A claimed request is sent with the digest of its body, so the body
		// is read first.
		if (this.request.claimed() && !this.body.ended()) {
			if (this.body.length() > RequestBody.KEPT_BYTES) {
				refuse(Problem.notRun(RefusalReason.OVERSIZED,
						"body of a request with Idempotency-Key, at most " + RequestBody.KEPT_BYTES + " bytes", 0));
				return;
			}
			this.caller.readMore();
			return;
		}
		this.begun = true;
		this.forwarding.policy().deposit();
		attempt();
	}

	private void attempt() {
		if (this.done) {
			return;
		}
		Optional<Connection> connection = this.candidates.connect(this.refusal == null);
		if (connection.isPresent()) {
			send(connection.get());
		}
		else if (this.refusal == null && this.candidates.tryWait()) {
			this.caller.eventLoop().schedule(this::attempt, Candidates.WAIT_MS, TimeUnit.MILLISECONDS);
		}
		else {
			Problem none = (this.refusal != null) ? this.refusal : Problem.notRun(RefusalReason.REFUSED_UNAVAILABLE,
					"no agent of " + this.request.service() + " accepts requests", 0);
			end("refused", "");
			this.caller.answer(none, this.request.idText());
		}
	}

	private void send(Connection connection) {
		this.attempts++;
		Attempt next = new Attempt(this, this.caller.eventLoop(), connection.peerName(), this.forwarding.now(), false);
		this.attempt = next;
		this.incarnation = connection.peerHello().getIncarnation();
		this.forwarding.started(next.agent());
		next.opened(connection.open(this.forwarding.start(this.request, this.body, connection, this.forwarding.now()),
				next));
		this.body.replay(next.stream());
		readMore();
	}

	private void readMore() {
		Attempt open = this.attempt;
		if (this.body.ended() || open == null || open.resolving()) {
			return;
		}
		if (open.stream().isWritable()) {
			this.caller.readMore();
		}
		else {
			this.waitingForCredit = true;
		}
	}

	private void started(Attempt from, ResponseStart start) {
		long now = this.forwarding.now();
		if (this.answerStarted) {
			broken(from, "second head of an answer");
			return;
		}
		from.answered(now);
		if (start.hasLoad()) {
			this.forwarding.report(from.agent(), start.getLoad());
		}
		if (start.getStatus() >= SERVER_ERROR && this.request.idempotent() && this.body.replayable()) {
			RetryDecision decision = this.forwarding.policy()
				.decide(this.attempts, AttemptOutcome.FAILED, true, false, this.request.deadlineNanos(), now);
			if (decision instanceof RetryDecision.Again again) {
				finish(from, false);
				from.cancel("answer has status " + start.getStatus());
				this.candidates.exclude(from.agent());
				again(again);
				return;
			}
		}
		this.answerStarted = true;
		this.status = start.getStatus();
		HttpResponse head = this.forwarding.head(start, this.request);
		this.announced = Forwarding.bodiless(start.getStatus(), this.request) ? -1
				: HttpUtil.getContentLength(head, -1L);
		this.caller.startAnswer(head);
	}

	private void part(Attempt from, ByteString data) {
		if (!this.answerStarted) {
			broken(from, "body before the head of the answer");
			return;
		}
		from.count(data.size());
		if (this.announced >= 0 && from.received() > this.announced) {
			broken(from, "body longer than its Content-Length of " + this.announced);
			return;
		}
		this.caller.writeBody(data, () -> from.stream().recordConsumed(data.size()));
	}

	private void ended(Attempt from, BodyEnd end) {
		boolean whole = this.announced < 0 || from.received() == this.announced;
		if (!this.answerStarted || !whole || end.getLength() != from.received()) {
			broken(from, "body of " + from.received() + " bytes, announced were " + end.getLength());
			return;
		}
		finish(from, this.status < SERVER_ERROR);
		from.close();
		end("whole", "");
		this.caller.endAnswer();
	}

	private void refused(Attempt from, Refused refused) {
		if (refused.hasLoad()) {
			this.forwarding.report(from.agent(), refused.getLoad());
		}
		if (from.tryEnd()) {
			this.forwarding.abandoned(from.agent());
		}
		from.close();
		this.candidates.exclude(from.agent());
		this.refusal = Problem.notRun(refused.getReason(), refused.getDetail(), refused.getRetryAfterMs());
		decide(from, Outcomes.of(refused, this.attempts), refused.getReason() + " at " + from.agent());
	}

	private void failed(Attempt from, Failed failed) {
		finish(from, false);
		from.close();
		this.candidates.exclude(from.agent());
		this.mayHaveRun = true;
		decide(from, (failed.getUnknown()) ? AttemptOutcome.UNKNOWN : AttemptOutcome.FAILED,
				failed.getStep() + " with " + failed.getPeer() + " failed: " + failed.getDetail());
	}

	private void resolved(Attempt from, Resolution resolution) {
		if (!from.resolving()) {
			broken(from, "answer to a question that was not asked");
			return;
		}
		if (resolution.getOutcome() == Outcome.RAN && resolution.getResultFollows()) {
			return;
		}
		from.close();
		if (resolution.getOutcome() == Outcome.RUNNING) {
			this.caller.eventLoop().schedule(() -> resolve(from.agent()), RESOLVE_AGAIN_MS, TimeUnit.MILLISECONDS);
		}
		else if (resolution.getOutcome() == Outcome.NOT_RUN) {
			this.mayHaveRun = false;
			decide(from, AttemptOutcome.NOT_RUN, "not run at " + from.agent());
		}
		else {
			decide(from, AttemptOutcome.UNKNOWN, from.agent() + " cannot tell whether the request ran");
		}
	}

	private void broken(Attempt from, String detail) {
		finish(from, false);
		from.cancel(detail);
		this.mayHaveRun = true;
		decide(from, AttemptOutcome.FAILED, from.agent() + ": " + detail);
	}

	private void decide(Attempt from, AttemptOutcome outcome, String detail) {
		this.candidates.exclude(from.agent());
		boolean repeatable = this.body.replayable();
		RetryDecision decision = this.forwarding.policy()
			.decide(this.attempts, outcome, this.request.idempotent(), this.answerStarted, this.request.deadlineNanos(),
					this.forwarding.now());
		if (decision instanceof RetryDecision.Again again && repeatable) {
			again(again);
		}
		else if (decision instanceof RetryDecision.ResolveFirst) {
			resolve(from.agent());
		}
		else if (this.answerStarted) {
			end("incomplete", "");
			this.caller.abortAnswer();
		}
		else {
			RetryDecision.Reason reason = (decision instanceof RetryDecision.GiveUp giveUp) ? giveUp.reason()
					: RetryDecision.Reason.EXHAUSTED;
			Problem problem = Outcomes.problem(reason, outcome, this.refusal, detail);
			end((problem.type().equals("unknown")) ? "unknown" : "refused", "");
			this.caller.answer(problem, this.request.idText());
		}
	}

	private void again(RetryDecision.Again again) {
		this.attempt = null;
		if (again.delayNanos() <= 0) {
			attempt();
		}
		else {
			this.caller.eventLoop().schedule(this::attempt, again.delayNanos(), TimeUnit.NANOSECONDS);
		}
	}

	private void resolve(String agent) {
		if (this.done) {
			return;
		}
		this.forwarding.awaitConnection(agent, RECONNECT_MS)
			.whenComplete((connection, error) -> this.caller.eventLoop().execute(() -> ask(agent, connection)));
	}

	private void ask(String agent, @Nullable Connection connection) {
		if (this.done) {
			return;
		}
		Attempt question = new Attempt(this, this.caller.eventLoop(), agent, this.forwarding.now(), true);
		this.attempt = question;
		if (connection == null) {
			decide(question, AttemptOutcome.UNKNOWN, agent + " is gone; the request may have run");
			return;
		}
		question.opened(connection.open(this.forwarding.question(this.request, this.body, this.incarnation), question));
	}

	private void finish(Attempt from, boolean success) {
		if (from.tryEnd() && !from.resolving()) {
			long now = this.forwarding.now();
			this.forwarding.finished(from.agent(), success, from.latencyNanos(now));
		}
	}

	private void deadlinePassed() {
		if (this.done) {
			return;
		}
		boolean sent = this.attempt != null || this.mayHaveRun;
		boolean started = this.answerStarted;
		end("deadline", "deadline passed");
		if (started) {
			this.caller.abortAnswer();
		}
		else {
			this.caller.answer(
					(sent) ? Problem.unknown("deadline passed while the request was at an agent") : Problem
						.notRun(RefusalReason.DEADLINE_PASSED, "deadline passed before the request was sent", 0),
					this.request.idText());
		}
	}

	private void end(String how, String cancelReason) {
		if (this.done) {
			return;
		}
		this.done = true;
		this.deadline.cancel(false);
		Attempt open = this.attempt;
		if (open != null && open.tryEnd()) {
			if (!open.resolving()) {
				this.forwarding.abandoned(open.agent());
			}
			open.cancel(cancelReason);
		}
		this.forwarding.ended(this, how);
	}

}
