package org.baobabknot.gateway;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.baobabknot.fleet.EngineSpeed;
import org.baobabknot.fleet.RequestKind;
import org.baobabknot.fleet.Route;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.httpclient.AnswerHead;
import org.baobabknot.httpclient.Failure;
import org.baobabknot.placement.PlacementResult;
import org.baobabknot.placement.RequestEstimate;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.provider.CallerHead;
import org.baobabknot.provider.RequestDialect;
import org.baobabknot.provider.TargetAnswer;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller from its last byte to its answer. A request that may have run
 * is sent again only if its route allows that; a stream goes on at another target after
 * the last event that the caller got.
 */
final class GatewayRequest {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	/** Time that an attempt needs at least to be worth sending. */
	private static final long LEAST_LEFT_MS = 20;

	/**
	 * Silence after which a target that owes a first byte is given up, as a multiple of
	 * the objective.
	 */
	private static final double FIRST_SILENCE = 2.5;

	/**
	 * Silence after which a target in the middle of a stream is given up, as a multiple
	 * of the pause allowed.
	 */
	private static final double PAUSE_SILENCE = 2.5;

	/** Least silence after which a target is given up. */
	private static final long LEAST_SILENCE_MS = 500;

	/**
	 * Silence of one stream at a target that goes on with others after which it is given
	 * up: longer than a batch may delay a stream, and below the time at which callers
	 * leave.
	 */
	private static final long STUCK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/**
	 * Sends that cost a target nothing: refused connections and addresses of other
	 * targets.
	 */
	private static final int MOST_FREE_SENDS = 4;

	/** Bytes of one event of a stream; usual ones have less than one kB. */
	private static final int MOST_EVENT_BYTES = 128 << 10;

	/** Objective of routes that state none. */
	private static final long STANDARD_OBJECTIVE_MS = 1_000;

	private final Gateway gateway;

	private final GatewayConnection caller;

	private final CallerHead head;

	private final RequestLog log;

	private final HttpHeaders headers;

	private final byte[] body;

	private final long arrivedNanos = System.nanoTime();

	private final Set<String> tried = new HashSet<>();

	private Admission.@Nullable Admitted terms;

	private long deadlineNanos;

	private int sends;

	private int freeSends;

	private boolean ran;

	private boolean streaming;

	private boolean done;

	private @Nullable TargetAttempt attempt;

	private @Nullable StreamEvents events;

	GatewayRequest(Gateway gateway, GatewayConnection caller, CallerHead head, HttpHeaders headers, byte[] body) {
		this.gateway = gateway;
		this.caller = caller;
		this.head = head;
		this.log = new RequestLog(gateway, head.requestId());
		this.headers = headers;
		this.body = body;
	}

	/**
	 * Decides what becomes of the request.
	 */
	void start() {
		Admission decision = Admission.decide(this.gateway, this.head);
		if (decision instanceof Admission.Refused refused) {
			reject(refused.rejection());
			return;
		}
		Admission.Admitted admitted = (Admission.Admitted) decision;
		this.terms = admitted;
		long timeoutMs = admitted.route().timeoutMs();
		long leftMs = (this.head.leftMs() >= 0) ? Math.min(this.head.leftMs(), timeoutMs) : timeoutMs;
		this.deadlineNanos = this.arrivedNanos + leftMs * MILLISECOND;
		this.gateway.admitted(this, admitted.service().name());
		place();
	}

	private Route route() {
		return Objects.requireNonNull(this.terms).route();
	}

	private ServiceDefinition service() {
		return Objects.requireNonNull(this.terms).service();
	}

	private void place() {
		Admission.Admitted admitted = Objects.requireNonNull(this.terms);
		ServiceDefinition definition = admitted.service();
		long now = System.nanoTime();
		long leftMs = (this.deadlineNanos - now) / MILLISECOND;
		if (leftMs < LEAST_LEFT_MS) {
			giveUp("no time is left");
			return;
		}
		PlacementResult result = this.gateway.place(definition, this.head.model(), admitted.regions(), this.tried,
				work(admitted.route(), definition, now, leftMs));
		if (result instanceof PlacementResult.TargetChosen chosen) {
			send(chosen, leftMs, now);
		}
		else if (result instanceof PlacementResult.TargetsBusy busy) {
			if (this.ran || this.streaming) {
				giveUp("all targets are busy");
			}
			else {
				reject(Rejection.notRun("busy", "predicted wait " + Math.round(busy.waitMs()) + " ms",
						returnMs(RetryAfter.LATER, busy.waitMs())));
			}
		}
		else {
			giveUp("no target of " + definition.name() + " is available");
		}
	}

	private RequestEstimate work(Route matched, ServiceDefinition definition, long now, long leftMs) {
		EngineSpeed pace = definition.engineSpeed();
		double objective = objectiveMs(matched) - (now - this.arrivedNanos) / (double) MILLISECOND;
		// What may have run, or was tried, is not refused for want of free places.
		boolean refusable = this.sends == 0 && this.freeSends == 0 && !this.ran;
		double competing = (refusable) ? this.gateway.requestsPerSecond(definition.name(), now) : 0;
		if (pace == null) {
			double usualMs = this.gateway.usualMs(definition.name());
			return new RequestEstimate(usualMs, usualMs, objective, leftMs, competing);
		}
		double prompt = this.head.promptTokens();
		double read = ((prompt >= 0) ? prompt : pace.promptTokens()) / pace.promptTokensPerMs();
		double first = read + pace.stepMs() * pace.stepsPerEvent();
		return new RequestEstimate(first, pace.occupancyMs(16, prompt, this.head.plannedAnswerTokens()), objective,
				leftMs, competing);
	}

	private static long objectiveMs(Route matched) {
		return (matched.objectiveMs() > 0) ? matched.objectiveMs() : STANDARD_OBJECTIVE_MS;
	}

	private void send(PlacementResult.TargetChosen chosen, long leftMs, long now) {
		Route matched = route();
		boolean streams = matched.kind() == RequestKind.STREAM;
		TargetAttempt opened = new TargetAttempt(this, this.gateway.answerMemory(), chosen.candidate().target(),
				chosen.candidate().load(), this.head.requestId(), streams, chosen.predictedMs(), now);
		this.attempt = opened;
		this.sends++;
		this.tried.add(chosen.candidate().target().id());
		StreamEvents got = this.events;
		long resumeAfter = (got != null && got.events() > 0) ? got.lastId() : -1;
		Admission.Admitted admitted = Objects.requireNonNull(this.terms);
		this.gateway.send(opened, this.head, this.headers, this.body, admitted.workspace(), admitted.urgency(), leftMs,
				resumeAfter);
	}

	/**
	 * A target did not run the request and won't.
	 * @param from the attempt
	 * @param reason what was seen
	 * @param full whether the target itself refused it, in its right place
	 */
	void notRun(TargetAttempt from, String reason, boolean full) {
		if (from != this.attempt || this.done) {
			return;
		}
		this.attempt = null;
		long now = System.nanoTime();
		if (!full || from.load().estimatedRequests(now) < from.target().slots()) {
			from.load().recordFailure(now);
		}
		if (!full) {
			// It can't be reached, or another one has its address: it stays listed until
			// its
			// entry lapses.
			from.load().avoid(now);
		}
		else {
			from.load()
				.recordResponseLoad(Math.max(from.target().slots() * 2, (int) from.load().estimatedRequests(now)), now);
		}
		this.log.attemptFailed(from, reason);
		this.sends--;
		this.freeSends++;
		if (this.freeSends > MOST_FREE_SENDS || !mayRepeat()) {
			giveUp(reason);
			return;
		}
		place();
	}

	/**
	 * An attempt failed and the request may have run.
	 * @param from the attempt
	 * @param failure step and peer
	 */
	void failed(TargetAttempt from, Failure failure) {
		if (from != this.attempt || this.done) {
			return;
		}
		this.attempt = null;
		this.ran = true;
		from.load().recordFailure(System.nanoTime());
		this.log.attemptFailed(from, failure.toString());
		repeatOrGiveUp(failure.toString());
	}

	private void repeatOrGiveUp(String reason) {
		Route matched = route();
		StreamEvents got = this.events;
		if (got != null) {
			got.drain().release();
		}
		if (matched.repeatable() && this.sends < matched.maxAttempts() && mayRepeat()) {
			place();
			return;
		}
		giveUp(reason);
	}

	private boolean mayRepeat() {
		long now = System.nanoTime();
		// A caller that has waited for so long leaves before a first event could come.
		boolean leaving = !this.streaming
				&& now - this.arrivedNanos > (route().callerTimeoutMs() - objectiveMs(route())) * MILLISECOND;
		return !leaving && now + LEAST_LEFT_MS * MILLISECOND < this.deadlineNanos
				&& this.gateway.tryRepeat(service().name());
	}

	/**
	 * A target answered whole, other than with a stream.
	 * @param from the attempt
	 * @param answer its head in the product's terms
	 * @param answerHead its head
	 * @param bytes its body
	 */
	void answered(TargetAttempt from, TargetAnswer answer, AnswerHead answerHead, byte[] bytes) {
		if (from != this.attempt || this.done) {
			return;
		}
		Route matched = route();
		long now = System.nanoTime();
		boolean broken = answer.status() >= 500;
		if (broken) {
			this.ran = true;
			from.load().recordFailure(now);
			this.log.attemptFailed(from, "status " + answer.status());
			if (this.streaming) {
				this.attempt = null;
				repeatOrGiveUp("status " + answer.status());
				return;
			}
			if (matched.repeatable() && this.sends < matched.maxAttempts() && mayRepeat()) {
				this.attempt = null;
				place();
				return;
			}
		}
		else {
			from.load().recordSuccess(now);
			this.gateway.answeredIn(from, (now - from.sentNanos()) / (double) MILLISECOND, service());
		}
		if (this.streaming) {
			giveUp("status " + answer.status() + " instead of the rest of the stream");
			return;
		}
		finish((broken) ? "target-failed" : "whole", from, "status " + answer.status());
		this.caller.answer(answer.status(), RequestDialect.toCaller(answerHead), bytes);
	}

	/**
	 * Bytes of a stream arrived.
	 * @param from the attempt
	 * @param answerHead head of the answer
	 * @param part the bytes
	 */
	void events(TargetAttempt from, AnswerHead answerHead, ByteBuf part) {
		if (from != this.attempt || this.done) {
			return;
		}
		StreamEvents got = this.events;
		if (got == null) {
			got = new StreamEvents(this.head.resumeAfter());
			this.events = got;
		}
		ByteBuf whole = got.add(part);
		if (!whole.isReadable()) {
			whole.release();
			if (got.pendingBytes() > MOST_EVENT_BYTES) {
				from.endless("an event of more than " + MOST_EVENT_BYTES + " bytes");
			}
			return;
		}
		startStream(from, answerHead);
		this.caller.stream(whole);
	}

	private void startStream(TargetAttempt from, AnswerHead answerHead) {
		if (this.streaming) {
			return;
		}
		this.streaming = true;
		long now = System.nanoTime();
		this.gateway.answeredIn(from, (now - from.sentNanos()) / (double) MILLISECOND, service());
		this.caller.startStream(RequestDialect.answer(answerHead).status(), RequestDialect.toCaller(answerHead));
	}

	/**
	 * A stream ended properly.
	 * @param from the attempt
	 * @param answerHead head of the answer
	 */
	void streamEnded(TargetAttempt from, AnswerHead answerHead) {
		if (from != this.attempt || this.done) {
			return;
		}
		startStream(from, answerHead);
		from.load().recordSuccess(System.nanoTime());
		StreamEvents got = this.events;
		if (got != null) {
			this.caller.stream(got.drain());
		}
		finish("whole", from, "");
		this.caller.endStream();
	}

	/**
	 * Checks the deadline and the silence of the target.
	 * @param now monotonic time
	 */
	void check(long now) {
		if (this.done) {
			return;
		}
		TargetAttempt open = this.attempt;
		if (now >= this.deadlineNanos) {
			giveUp("the deadline has passed");
			return;
		}
		Route matched = route();
		if (open == null || !matched.repeatable() || this.sends >= matched.maxAttempts()) {
			return;
		}
		if (!this.streaming && !open.answering() && this.gateway.outdated(open, this.head.model(), now)) {
			open.abandon("its version is no longer allowed");
			failed(open, Failure.afterSending("wait for answer", open.target().address(),
					"the target runs a version that is no longer allowed"));
			return;
		}
		double allowedMs = Math.max(LEAST_SILENCE_MS, (this.streaming)
				? PAUSE_SILENCE * Math.max(1, matched.pauseObjectiveMs()) : FIRST_SILENCE * objectiveMs(matched));
		long silentMs = open.silentNanos(now) / MILLISECOND;
		boolean silent = silentMs > allowedMs;
		if (silent) {
			open.load().avoid(now);
		}
		if (silent || (open.ownSilentNanos(now) / MILLISECOND > allowedMs && stuck(open, now))) {
			open.abandon("silent");
			failed(open, Failure.afterSending("wait for answer", open.target().address(),
					"nothing for " + open.ownSilentNanos(now) / MILLISECOND + " ms"));
		}
	}

	// A target that answers others but not this request, although the request does not
	// wait behind others there.
	private boolean stuck(TargetAttempt open, long now) {
		return (this.streaming) ? open.ownSilentNanos(now) > open.silentNanos(now) + STUCK_NANOS
				: open.load().estimatedRequests(now) <= open.target().slots();
	}

	/**
	 * The caller has closed its connection.
	 */
	void callerGone() {
		if (this.done) {
			return;
		}
		TargetAttempt open = this.attempt;
		if (open != null) {
			open.abandon("the caller has left");
		}
		finish("caller-gone", open, "");
	}

	/**
	 * The caller reads, or has stopped to.
	 * @param writable whether it has room for more
	 */
	void callerWritable(boolean writable) {
		TargetAttempt open = this.attempt;
		if (open != null) {
			open.reading(writable);
		}
	}

	private void giveUp(String reason) {
		TargetAttempt open = this.attempt;
		boolean owed = open != null;
		if (open != null) {
			open.abandon(reason);
		}
		if (this.streaming) {
			finish("stream-broken", open, reason);
			this.caller.abort();
		}
		else if (this.ran || owed) {
			boolean late = System.nanoTime() >= this.deadlineNanos;
			reject(Rejection.unknown((late) ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
					"outcome-unknown", reason));
		}
		else {
			reject(Rejection.notRun("unavailable", reason, returnMs(RetryAfter.LATER, 0)));
		}
	}

	private long returnMs(RetryAfter policy, double waitMs) {
		long waitedMs = (System.nanoTime() - this.arrivedNanos) / MILLISECOND;
		return this.gateway.returnMs(policy, waitMs, this.head.leftMs() - waitedMs);
	}

	private void reject(Rejection rejection) {
		finish(rejection.reason(), this.attempt, rejection.detail());
		this.caller.reject(rejection, this.head.requestId());
	}

	private void finish(String outcome, @Nullable TargetAttempt at, String detail) {
		this.done = true;
		this.attempt = null;
		long tookMs = (System.nanoTime() - this.arrivedNanos) / MILLISECOND;
		StreamEvents got = this.events;
		Admission.Admitted admitted = this.terms;
		this.gateway.finished(this, outcome, tookMs);
		this.log.ended(new RequestLog.End(outcome, detail, (admitted != null) ? admitted.route().name() : "",
				this.sends + this.freeSends, (got != null) ? got.events() : 0, tookMs,
				(admitted != null) ? admitted.urgency() : -1), this.head, at);
	}

}
