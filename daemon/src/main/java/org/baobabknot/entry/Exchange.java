package org.baobabknot.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
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
 * One request of a caller, from its head to the end of its response, over all attempts.
 * Confined to the caller's event loop.
 */
final class Exchange {

	// Interval of the queries for the outcome of a request that still runs.
	private static final long RESOLVE_INTERVAL_MS = 100;

	// Replacing a lost connection takes the round trips of TCP and TLS only. An agent
	// that does not reconnect within this time is considered failed.
	private static final long RECONNECT_TIMEOUT_MS = 3_000;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final RequestForwarder forwarder;

	private final Caller caller;

	private final CallerRequest request;

	private final RequestBody body;

	private final AgentCandidates candidates;

	private final ScheduledFuture<?> deadlineTimer;

	private final ExchangeProgress progress;

	private @Nullable AgentAttempt attempt;

	private @Nullable ErrorResponse lastRefusal;

	private boolean attemptsStarted;

	private boolean waitingForCredit;

	private boolean mayHaveRun;

	private boolean done;

	Exchange(RequestForwarder forwarder, Caller caller, CallerRequest request) {
		this.forwarder = forwarder;
		this.caller = caller;
		this.request = request;
		this.body = new RequestBody(request.claimsKey());
		this.candidates = new AgentCandidates(forwarder, request, this.body);
		this.progress = new ExchangeProgress(forwarder.now());
		long remainingNanos = Math.max(0, request.deadlineNanos() - this.progress.startNanos());
		this.deadlineTimer = caller.eventLoop().schedule(this::deadlinePassed, remainingNanos, TimeUnit.NANOSECONDS);
	}

	CallerRequest request() {
		return this.request;
	}

	ExchangeProgress progress() {
		return this.progress;
	}

	boolean done() {
		return this.done;
	}

	/**
	 * Adds a part of the request body and sends it to the agent of the current attempt.
	 * @param data bytes, may be empty
	 * @param last whether the body ends with this part
	 */
	void body(ByteString data, boolean last) {
		if (this.done) {
			return;
		}
		this.body.add(data);
		if (last) {
			this.body.end();
		}
		if (!this.attemptsStarted) {
			startFirstAttempt();
			return;
		}
		AgentAttempt currentAttempt = this.attempt;
		if (currentAttempt != null && !currentAttempt.resolving()) {
			if (!data.isEmpty()) {
				currentAttempt.stream().sendBody(data);
			}
			this.body.dropSentParts();
			if (last) {
				this.body.sendEnd(currentAttempt.stream());
			}
		}
		readBody();
	}

	/**
	 * Called when the caller's connection was closed.
	 */
	void callerDisconnected() {
		end("caller-gone", "caller gone");
	}

	/**
	 * Ends the request because its body is invalid, too long or late. If its head was
	 * sent to an agent, the response does not state that the request has not run, because
	 * the target may have acted on the part of the body that it received.
	 * @param bodyError error response for the caller
	 */
	void rejectBody(ErrorResponse bodyError) {
		if (this.done) {
			return;
		}
		ErrorResponse error = (this.attemptsStarted && !this.request.idempotent()) ? bodyError.withUnknownOutcome()
				: bodyError;
		end("refused", "refused by the entry");
		respondOrAbort(error);
	}

	void frameReceived(AgentAttempt source, Frame frame) {
		if (source != this.attempt || this.done) {
			return;
		}
		switch (frame.getBodyCase()) {
			case RESPONSE_START -> responseHeadReceived(source, frame.getResponseStart());
			case BODY_PART -> responseDataReceived(source, frame.getBodyPart().getData());
			case BODY_END -> responseEndReceived(source, frame.getBodyEnd());
			case REFUSED -> refusalReceived(source, frame.getRefused());
			case FAILED -> failureReceived(source, frame.getFailed());
			case RESOLUTION -> resolutionReceived(source, frame.getResolution());
			default -> failInvalidResponse(source, "unexpected " + frame.getBodyCase());
		}
	}

	void streamWritable(AgentAttempt source) {
		if (source == this.attempt && this.waitingForCredit) {
			this.waitingForCredit = false;
			readBody();
		}
	}

	void connectionLost(AgentAttempt source, AttemptOutcome outcome, ConnectionFailure failure) {
		if (source != this.attempt || this.done) {
			return;
		}
		recordResult(source, false);
		this.mayHaveRun |= !outcome.notRun();
		retryOrGiveUp(source, outcome, failure.toString());
	}

	private void startFirstAttempt() {
		// A request that claims its key is sent with a fingerprint of its body, so the
		// whole body is read first.
		if (this.request.claimsKey()) {
			if (this.body.length() > RequestBody.MAX_REPLAY_BYTES) {
				rejectBody(ErrorResponse.notRun(RefusalReason.OVERSIZED,
						"body of a request with Idempotency-Key, at most " + RequestBody.MAX_REPLAY_BYTES + " bytes",
						0));
				return;
			}
			if (!this.body.ended()) {
				this.caller.readBody();
				return;
			}
		}
		this.attemptsStarted = true;
		this.forwarder.retryPolicy().requestStarted();
		attempt();
	}

	private void attempt() {
		if (this.done) {
			return;
		}
		Optional<Connection> connection = this.candidates.chooseConnection(this.lastRefusal == null);
		if (connection.isPresent()) {
			send(connection.get());
		}
		else if (this.lastRefusal == null && this.candidates.tryWait()) {
			this.caller.eventLoop().schedule(this::attempt, AgentCandidates.RECONNECT_POLL_MS, TimeUnit.MILLISECONDS);
		}
		else {
			endWithError(OutcomeMapper.noAgent(this.lastRefusal, this.request.service(), this.mayHaveRun));
		}
	}

	private void send(Connection connection) {
		AgentAttempt newAttempt = new AgentAttempt(this, this.caller.eventLoop(), connection.peerName(),
				this.forwarder.now(), false);
		this.attempt = newAttempt;
		this.progress.attemptStarted(newAttempt.agent(), connection.peerHello().getIncarnation());
		this.forwarder.attemptStarted(newAttempt.agent());
		newAttempt.setStream(connection
			.open(this.forwarder.requestFrame(this.request, this.body, connection, this.forwarder.now()), newAttempt));
		this.body.replay(newAttempt.stream());
		readBody();
	}

	private void readBody() {
		AgentAttempt currentAttempt = this.attempt;
		if (this.body.ended() || currentAttempt == null || currentAttempt.resolving()) {
			return;
		}
		if (currentAttempt.stream().isWritable()) {
			this.caller.readBody();
		}
		else {
			this.waitingForCredit = true;
		}
	}

	private void responseHeadReceived(AgentAttempt source, ResponseStart start) {
		long now = this.forwarder.now();
		if (this.progress.responseStarted()) {
			failInvalidResponse(source, "second head of an answer");
			return;
		}
		source.responseStarted(now);
		if (start.hasLoad()) {
			this.forwarder.reportLoad(source.agent(), start.getLoad());
		}
		if (start.getStatus() >= MIN_SERVER_ERROR_STATUS && this.request.idempotent() && this.body.replayable()) {
			RetryDecision decision = this.forwarder.retryPolicy()
				.decide(this.progress.attempts(), AttemptOutcome.FAILED, true, false, this.request.deadlineNanos(),
						now);
			if (decision instanceof RetryDecision.Retry retry) {
				recordResult(source, false);
				this.mayHaveRun = true;
				source.cancel("answer has status " + start.getStatus());
				this.candidates.exclude(source.agent());
				scheduleRetry(retry);
				return;
			}
		}
		HttpResponse head = this.forwarder.responseHead(start, this.request);
		this.progress.responseStarted(start.getStatus(), RequestForwarder.hasNoBody(start.getStatus(), this.request)
				? -1 : HttpUtil.getContentLength(head, -1L));
		this.caller.startResponse(head);
	}

	private void responseDataReceived(AgentAttempt source, ByteString data) {
		if (!this.progress.responseStarted()) {
			failInvalidResponse(source, "body before the head of the answer");
			return;
		}
		source.addReceived(data.size());
		if (this.progress.exceedsLength(source.received())) {
			failInvalidResponse(source, "body longer than its Content-Length of " + this.progress.length());
			return;
		}
		this.caller.writeBody(data, () -> source.stream().recordConsumed(data.size()));
	}

	private void responseEndReceived(AgentAttempt source, BodyEnd end) {
		if (!this.progress.isWhole(source.received()) || end.getLength() != source.received()) {
			failInvalidResponse(source, "body of " + source.received() + " bytes, announced were " + end.getLength());
			return;
		}
		recordResult(source, this.progress.status() < MIN_SERVER_ERROR_STATUS);
		source.close();
		end("whole", "");
		this.caller.endResponse();
	}

	private void refusalReceived(AgentAttempt source, Refused refused) {
		if (refused.hasLoad()) {
			this.forwarder.reportLoad(source.agent(), refused.getLoad());
		}
		if (source.tryEnd()) {
			this.forwarder.attemptAbandoned(source.agent());
		}
		source.close();
		this.candidates.exclude(source.agent());
		this.lastRefusal = ErrorResponse.notRun(refused.getReason(), refused.getDetail(), refused.getRetryAfterMs());
		retryOrGiveUp(source, OutcomeMapper.attemptOutcome(refused, this.progress.attempts()),
				refused.getReason() + " at " + source.agent());
	}

	private void failureReceived(AgentAttempt source, Failed failed) {
		recordResult(source, false);
		source.close();
		this.candidates.exclude(source.agent());
		this.mayHaveRun = true;
		retryOrGiveUp(source, (failed.getUnknown()) ? AttemptOutcome.UNKNOWN : AttemptOutcome.FAILED,
				failed.getStep() + " with " + failed.getPeer() + " failed: " + failed.getDetail());
	}

	private void resolutionReceived(AgentAttempt source, Resolution resolution) {
		if (!source.resolving()) {
			failInvalidResponse(source, "answer to a question that was not asked");
			return;
		}
		if (resolution.getOutcome() == Outcome.RAN && resolution.getResultFollows()) {
			return;
		}
		source.close();
		if (resolution.getOutcome() == Outcome.RUNNING) {
			this.caller.eventLoop().schedule(() -> resolve(source.agent()), RESOLVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
		else if (resolution.getOutcome() == Outcome.NOT_RUN) {
			this.mayHaveRun = false;
			retryOrGiveUp(source, AttemptOutcome.NOT_RUN, "not run at " + source.agent());
		}
		else {
			retryOrGiveUp(source, AttemptOutcome.UNKNOWN, source.agent() + " cannot tell whether the request ran");
		}
	}

	private void failInvalidResponse(AgentAttempt source, String detail) {
		recordResult(source, false);
		source.cancel(detail);
		this.mayHaveRun = true;
		retryOrGiveUp(source, AttemptOutcome.FAILED, source.agent() + ": " + detail);
	}

	private void retryOrGiveUp(AgentAttempt source, AttemptOutcome outcome, String detail) {
		this.candidates.exclude(source.agent());
		boolean bodyReplayable = this.body.replayable();
		RetryDecision decision = this.forwarder.retryPolicy()
			.decide(this.progress.attempts(), outcome, this.request.idempotent(), this.progress.responseStarted(),
					this.request.deadlineNanos(), this.forwarder.now());
		if (decision instanceof RetryDecision.Retry retry && bodyReplayable) {
			scheduleRetry(retry);
		}
		else if (decision instanceof RetryDecision.ResolveFirst) {
			resolve(source.agent());
		}
		else if (this.progress.responseStarted()) {
			end("incomplete", "");
			this.caller.abortResponse();
		}
		else {
			endWithError(OutcomeMapper.errorResponse(decision, outcome, this.mayHaveRun, this.lastRefusal, detail));
		}
	}

	private void endWithError(ErrorResponse error) {
		end(error.outcome(), "");
		this.caller.sendError(error, this.request.idHex());
	}

	private void scheduleRetry(RetryDecision.Retry retry) {
		this.attempt = null;
		if (retry.delayNanos() <= 0) {
			attempt();
		}
		else {
			this.caller.eventLoop().schedule(this::attempt, retry.delayNanos(), TimeUnit.NANOSECONDS);
		}
	}

	private void resolve(String agent) {
		if (this.done) {
			return;
		}
		this.forwarder.awaitConnection(agent, RECONNECT_TIMEOUT_MS)
			.whenComplete((connection, error) -> this.caller.eventLoop().execute(() -> sendResolve(agent, connection)));
	}

	private void sendResolve(String agent, @Nullable Connection connection) {
		if (this.done) {
			return;
		}
		AgentAttempt resolveQuery = new AgentAttempt(this, this.caller.eventLoop(), agent, this.forwarder.now(), true);
		if (connection == null) {
			this.attempt = null;
			retryOrGiveUp(resolveQuery, AttemptOutcome.UNKNOWN, agent + " is gone; the request may have run");
			return;
		}
		this.attempt = resolveQuery;
		resolveQuery.setStream(connection
			.open(this.forwarder.resolveFrame(this.request, this.body, this.progress.incarnation()), resolveQuery));
	}

	private void recordResult(AgentAttempt source, boolean success) {
		if (source.tryEnd() && !source.resolving()) {
			long now = this.forwarder.now();
			this.forwarder.attemptFinished(source.agent(), success, source.latencyNanos(now));
		}
	}

	private void deadlinePassed() {
		endEarly("deadline", "deadline passed", ErrorResponse::deadlinePassed);
	}

	/**
	 * Ends the request because the process ends.
	 */
	void processEnding() {
		endEarly("process-end", "the entry ends", ErrorResponse::processEnded);
	}

	private void endEarly(String outcome, String cancelReason, Function<Boolean, ErrorResponse> errorIfSent) {
		if (this.done) {
			return;
		}
		boolean mayHaveBeenSent = this.attempt != null || this.mayHaveRun;
		end(outcome, cancelReason);
		respondOrAbort(errorIfSent.apply(mayHaveBeenSent));
	}

	private void respondOrAbort(ErrorResponse error) {
		if (this.progress.responseStarted()) {
			this.caller.abortResponse();
		}
		else {
			this.caller.sendError(error, this.request.idHex());
		}
	}

	private void end(String outcome, String cancelReason) {
		if (this.done) {
			return;
		}
		this.done = true;
		this.deadlineTimer.cancel(false);
		AgentAttempt currentAttempt = this.attempt;
		if (currentAttempt != null && currentAttempt.tryEnd()) {
			if (!currentAttempt.resolving()) {
				this.forwarder.attemptAbandoned(currentAttempt.agent());
			}
			currentAttempt.cancel(cancelReason);
		}
		this.forwarder.exchangeEnded(this, outcome);
	}

}
