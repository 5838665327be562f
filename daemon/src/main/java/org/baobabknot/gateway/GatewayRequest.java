package org.baobabknot.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.baobabknot.attempt.AttemptLimits;
import org.baobabknot.fleet.RequestKind;
import org.baobabknot.fleet.Route;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.httpclient.ResponseOwner;
import org.baobabknot.placement.PlacementResult;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.placement.ShutdownWindow;
import org.baobabknot.placement.UnfinishedRequest;
import org.baobabknot.provider.CallerRequestHead;
import org.baobabknot.provider.PlatformHeaders;
import org.baobabknot.provider.TargetResponseHead;
import org.baobabknot.quarantine.Trial;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller, from its last byte to the end of its response. A request that
 * may have run is retried only if its route allows it; a stream resumes at another target
 * after the last event that the caller received.
 */
final class GatewayRequest {

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	/** Remaining time below which no attempt is started. */
	private static final long MIN_ATTEMPT_MS = 20;

	/** Smallest status by which a target states that it has failed. */
	private static final int SERVER_ERROR = 500;

	/** Time in which a suspected request is served or crashes its target. */
	private static final double SUSPICION_MS = 250;

	private final Gateway gateway;

	private final GatewayConnection connection;

	private final CallerRequestHead head;

	private final RequestLog log;

	private final HttpHeaders headers;

	private final byte[] body;

	private final long arrivedNanos = System.nanoTime();

	private final AttemptLimits limits = new AttemptLimits(this.arrivedNanos);

	private final RequestScreening screening;

	private final CallerStream stream;

	private RequestAdmission.@Nullable Admitted admission;

	private @Nullable AttemptPlacement placement;

	private long deadlineNanos;

	/** Attempts that may have run at their targets. */
	private final Set<TargetAttempt> attemptsThatMayHaveRun = new HashSet<>();

	private boolean done;

	/** Whether a begun stream waits until a target has room for its rest. */
	private boolean awaitsRoom;

	private final OpenAttempts openAttempts = new OpenAttempts();

	GatewayRequest(Gateway gateway, GatewayConnection connection, CallerRequestHead head, HttpHeaders headers,
			byte[] body) {
		this.gateway = gateway;
		this.connection = connection;
		this.head = head;
		this.headers = headers;
		this.body = body;
		RequestTraits traits = RequestTraits.of(head, body);
		this.screening = new RequestScreening(gateway.requestGuard(), gateway.loop(), traits);
		this.stream = new CallerStream(connection, head.lastEventId());
		this.log = new RequestLog(gateway, head, traits);
	}

	/**
	 * Admits the request and starts its first attempt, or refuses it.
	 */
	void start() {
		RequestAdmission decision = RequestAdmission.decide(this.gateway, this.head);
		if (decision instanceof RequestAdmission.Refused refused) {
			sendError(refused.error());
			return;
		}
		RequestAdmission.Admitted admitted = (RequestAdmission.Admitted) decision;
		this.admission = admitted;
		long timeoutMs = admitted.route().timeoutMs();
		long remainingMs = (this.head.timeoutMs() >= 0) ? Math.min(this.head.timeoutMs(), timeoutMs) : timeoutMs;
		this.deadlineNanos = this.arrivedNanos + remainingMs * NANOS_PER_MS;
		this.placement = new AttemptPlacement(this.gateway, this.head, admitted, this.screening, this.limits,
				this.arrivedNanos, this.deadlineNanos);
		ShutdownWindow.Arrival arrival = this.gateway.shutdownWindow()
			.map((window) -> window.arrival(this.connection.openedNanos(), this.deadlineNanos))
			.orElse(ShutdownWindow.Arrival.ADMITTED);
		if (!arrival.admitted()) {
			sendError(ErrorResponse.notRun("stopping", arrival.refusal(), retryAfterMs(RetryAfter.ELSEWHERE, 0)));
			return;
		}
		this.gateway.requestAdmitted(this, admitted.service().name());
		this.screening.admit(new GuardOutcome(() -> true));
	}

	/**
	 * Returns whether the request waits for the first byte of its response and has one of
	 * some traits.
	 * @param candidates the traits
	 * @return whether it has
	 */
	boolean awaitsResponseWith(Collection<Long> candidates) {
		return this.openAttempts.all().stream().anyMatch((attempt) -> !attempt.responseStarted())
				&& this.screening.hasAny(candidates);
	}

	/**
	 * Ends the request if it is quarantined and no target has responded to it. The work
	 * of its target is cancelled, which can keep the target from crashing.
	 */
	void rejectIfQuarantined() {
		if (!this.done && !this.stream.started() && this.screening.isQuarantined()) {
			rejectQuarantined();
		}
	}

	// A target that has begun the response survives the request, so its attempt goes on.
	private void rejectQuarantined() {
		if (this.stream.started()) {
			giveUp("the request is quarantined");
		}
		else {
			sendError(ErrorResponse.harmfulPrompt());
		}
	}

	/**
	 * Returns the time until the deadline.
	 * @return the time, negative after the deadline
	 */
	Duration remaining() {
		return Duration.ofNanos(this.deadlineNanos - System.nanoTime());
	}

	private Route route() {
		return Objects.requireNonNull(this.admission).route();
	}

	private AttemptPlacement placement() {
		return Objects.requireNonNull(this.placement);
	}

	private ServiceDefinition service() {
		return Objects.requireNonNull(this.admission).service();
	}

	private void startAttempt() {
		long now = System.nanoTime();
		long remainingMs = (this.deadlineNanos - now) / NANOS_PER_MS;
		if (remainingMs < MIN_ATTEMPT_MS) {
			giveUp("no time is left");
			return;
		}
		PlacementResult result = placement().choose(mayHaveRun(), now);
		if (result instanceof PlacementResult.TargetChosen chosen) {
			if (chosen.candidate().limited()) {
				acquirePermit(chosen, now);
			}
			else {
				send(chosen, remainingMs, now);
			}
		}
		else if (isRoomAwaited(result)) {
			this.screening.release();
			this.awaitsRoom = true;
		}
		else if (result instanceof PlacementResult.LimitsReached reached) {
			refuseLimited(reached.waitMs());
		}
		else if (result instanceof PlacementResult.NoTarget && !this.limits.limited().isEmpty()) {
			refuseLimited(0);
		}
		else if (result instanceof PlacementResult.TargetsBusy busy) {
			refuse("busy", "predicted wait " + Math.round(busy.waitMs()) + " ms", RetryAfter.LATER, busy.waitMs());
		}
		else if (result instanceof PlacementResult.TargetsResting resting) {
			refuse("resting", "all targets rest for " + resting.waitMs() + " ms", RetryAfter.AFTER_REST,
					resting.waitMs());
		}
		else {
			giveUp("no target of " + service().name() + " is available");
		}
	}

	// That targets have no room now, or that the limits which they state are used up,
	// doesn't show that none can run the rest of a stream.
	private boolean isRoomAwaited(PlacementResult result) {
		boolean limitsReached = result instanceof PlacementResult.LimitsReached
				|| (result instanceof PlacementResult.NoTarget && !this.limits.limited().isEmpty());
		return this.stream.started() && this.openAttempts.all().isEmpty() && (limitsReached
				|| result instanceof PlacementResult.TargetsBusy || result instanceof PlacementResult.TargetsResting);
	}

	// Many requests wait for the same limits, so that their callers come back later, and
	// not all at once.
	private void refuseLimited(double waitMs) {
		refuse("limited", "the limits that targets state are used up for " + Math.round(waitMs) + " ms",
				RetryAfter.AFTER_REST, waitMs);
	}

	private void acquirePermit(PlacementResult.TargetChosen chosen, long now) {
		LimitedTarget target = this.gateway.pooledTarget(chosen.candidate().target()).limitedTarget();
		double maxWaitMs = placement().maxPermitWaitMs(mayHaveRun(), now);
		this.gateway.sharedLimits().acquire(target, Math.round(maxWaitMs), new PermitOutcome(chosen, target));
	}

	private void refuse(String reason, String detail, RetryAfter policy, double waitMs) {
		if (mayHaveRun() || this.stream.started()) {
			giveUp("all targets are " + reason);
		}
		else {
			sendError(ErrorResponse.notRun(reason, detail, retryAfterMs(policy, waitMs)));
		}
	}

	private void send(PlacementResult.TargetChosen chosen, long remainingMs, long now) {
		Route route = route();
		boolean expectsStream = route.kind() == RequestKind.STREAM;
		TargetRecord target = chosen.candidate().target();
		TargetAttempt attempt = new TargetAttempt(this, this.gateway.responseBudget(), target,
				this.gateway.pooledTarget(target), this.head.requestId(), expectsStream, chosen.predictedMs(), now);
		this.openAttempts.start(attempt);
		this.stream.open(attempt);
		if (this.limits.isReturn(target.id())) {
			attempt.markReturn();
		}
		this.limits.recordSent(target.id());
		RequestAdmission.Admitted admitted = Objects.requireNonNull(this.admission);
		this.gateway.send(attempt, this.head, this.headers, this.body, admitted.workspace(), admitted.urgency(),
				remainingMs, this.stream.resumeAfter());
	}

	/**
	 * Returns whether the target of an attempt may still get the request.
	 * @param attempt the attempt, which waits for a connection
	 * @return whether it would be allowed as a target now
	 */
	boolean maySend(TargetAttempt attempt) {
		return this.admission == null || placement().allows(attempt.target(), mayHaveRun(), System.nanoTime());
	}

	/**
	 * Called when a target did not run the request and never will.
	 * @param attempt the attempt
	 * @param reason cause of the failure
	 * @param cause why the request has not run
	 */
	void attemptNotRun(TargetAttempt attempt, String reason, NotRunCause cause) {
		if (!isOpen(attempt)) {
			return;
		}
		boolean wasCurrent = remove(attempt);
		this.attemptsThatMayHaveRun.remove(attempt);
		long now = System.nanoTime();
		if (cause.showsFault()
				|| (cause.reachesTarget() && attempt.load().estimatedRequests(now) < attempt.target().slots())) {
			attempt.load().recordFailure(now);
		}
		if (cause.showsFault()) {
			// The target can't be reached or another one has its address. It stays listed
			// until its entry expires.
			attempt.load().avoid(now);
		}
		else if (cause.reachesTarget()) {
			attempt.load()
				.recordResponseLoad(Math.max(attempt.target().slots() * 2, (int) attempt.load().estimatedRequests(now)),
						now);
		}
		this.log.attemptFailed(attempt, reason, this.stream.eventCount());
		this.limits.recordNotRun(attempt.isReturn(), cause.costsTarget());
		if (!wasCurrent) {
			return;
		}
		boolean mayContinue = this.limits.allowsAfterNotRun(cause.costsTarget())
				&& ((cause.costsTarget()) ? mayRetry() : hasTimeToRetry());
		if (mayContinue) {
			startAttempt();
		}
		else {
			giveUp(reason);
		}
	}

	/**
	 * Called when an attempt failed and the request may have run.
	 * @param attempt the attempt
	 * @param failure step, peer and cause of the failure
	 */
	void attemptFailed(TargetAttempt attempt, HttpFailure failure) {
		if (!isOpen(attempt)) {
			return;
		}
		boolean wasCurrent = remove(attempt);
		this.attemptsThatMayHaveRun.add(attempt);
		attempt.load().recordFailure(System.nanoTime());
		this.log.attemptFailed(attempt, failure.toString(), this.stream.eventCount());
		String reason = failure.toString();
		if (!wasCurrent) {
			if (failure.kind() == HttpFailure.Kind.CONNECTION_LOST) {
				this.screening.connectionLostBesideAnother(attempt);
			}
		}
		else if (failure.kind() == HttpFailure.Kind.CONNECTION_LOST) {
			this.screening.connectionLost(attempt, () -> retryOrGiveUp(reason), () -> giveUpIfNeeded(reason));
		}
		else {
			this.screening.release();
			retryOrGiveUp(reason);
		}
	}

	// A silent target that went on has made the next attempt unnecessary.
	private boolean needsAttempt() {
		return !this.done && this.openAttempts.current() == null;
	}

	private boolean isOpen(TargetAttempt attempt) {
		return !this.done && this.openAttempts.contains(attempt);
	}

	private boolean remove(TargetAttempt attempt) {
		this.stream.drop(attempt);
		return this.openAttempts.remove(attempt);
	}

	// The first attempt that makes progress brings the response.
	private void keepOnly(TargetAttempt attempt) {
		this.openAttempts.keepOnly(attempt).forEach((other) -> {
			if (other.sentNanos() - attempt.sentNanos() < 0) {
				other.load().recordFailure(System.nanoTime());
			}
			this.log.attemptFailed(other, "another target goes on", this.stream.eventCount());
			this.limits.recordLeft(other.target().id());
			other.cancel("another target goes on");
			this.stream.drop(other);
		});
	}

	private void cancelAttempts(String reason) {
		this.openAttempts.removeAll().forEach((attempt) -> {
			attempt.cancel(reason);
			this.stream.drop(attempt);
		});
	}

	private void giveUpIfNeeded(String reason) {
		if (needsAttempt()) {
			giveUp(reason);
		}
	}

	private void retryOrGiveUp(String reason) {
		if (!needsAttempt()) {
			return;
		}
		Route route = route();
		if (this.screening.isQuarantined()) {
			rejectQuarantined();
		}
		else if (route.repeatable() && mayTryAnotherTarget() && hasTimeToRetry()) {
			this.screening.admit(new GuardOutcome(this::tryRetry));
		}
		else {
			giveUp(reason);
		}
	}

	private boolean mayTryAnotherTarget() {
		return this.limits.allowsAnotherTarget(route().maxAttempts());
	}

	private boolean mayRetry() {
		return hasTimeToRetry() && tryRetry();
	}

	private boolean tryRetry() {
		return this.gateway.tryRetry(service().name());
	}

	private boolean hasTimeToRetry() {
		long now = System.nanoTime();
		// A caller that has waited this long disconnects before a first event could
		// arrive.
		boolean callerLikelyGone = !this.stream.started() && now
				- this.arrivedNanos > (route().callerTimeoutMs() - SilencePolicy.objectiveMs(route())) * NANOS_PER_MS;
		return !callerLikelyGone && now + MIN_ATTEMPT_MS * NANOS_PER_MS < this.deadlineNanos;
	}

	/**
	 * Called when a response has arrived that was not shown to belong to the request.
	 * @param attempt the attempt
	 * @param response decoded head of the response
	 * @param owner what the response states
	 */
	void responseUnmatched(TargetAttempt attempt, TargetResponseHead response, ResponseOwner owner) {
		this.gateway.metrics().responseUnmatched();
		this.log.responseUnmatched(attempt, response, owner);
	}

	/**
	 * Called when a target has changed the limit that it states.
	 * @param attempt the attempt
	 */
	void limitChanged(TargetAttempt attempt) {
		this.gateway.sharedLimits().limitChanged(attempt.pooledTarget().limitedTarget());
		this.gateway.statementLog().limitChanged(attempt, this.head.requestId());
	}

	/**
	 * Called when a response has statements that are not understood.
	 * @param attempt the attempt
	 * @param response decoded head of the response
	 */
	void statementsUnread(TargetAttempt attempt, TargetResponseHead response) {
		this.gateway.statementLog().recordUnread(attempt, this.head.requestId(), response);
	}

	/**
	 * Called when a complete response other than a stream was received.
	 * @param attempt the attempt
	 * @param response decoded head of the response
	 * @param responseHead status and headers as received
	 * @param bytes body
	 */
	void responseReceived(TargetAttempt attempt, TargetResponseHead response, ResponseHead responseHead, byte[] bytes) {
		if (!isOpen(attempt)) {
			return;
		}
		if (this.stream.started()) {
			remainderRefused(attempt, response.status());
			return;
		}
		long now = System.nanoTime();
		boolean serverError = response.status() >= SERVER_ERROR;
		if (serverError) {
			attempt.load().recordFailure(now);
		}
		boolean promiseUnknown = response.promisesNotRun() && mayHaveRunBeside(attempt);
		if (serverError || promiseUnknown || (response.isPutOff() && this.openAttempts.all().size() > 1)) {
			String reason = "status " + response.status();
			this.attemptsThatMayHaveRun.add(attempt);
			this.log.attemptFailed(attempt, reason, this.stream.eventCount());
			if (!remove(attempt) || continuesAfterFailure()) {
				return;
			}
			// The target knows nothing of the others.
			if (promiseUnknown) {
				end(reason);
				return;
			}
		}
		else {
			keepOnly(attempt);
			attempt.load().recordSuccess(now);
			if (response.isSuccess()) {
				this.screening.served();
			}
			recordLatency(attempt);
		}
		finish((serverError) ? "target-failed" : "whole", attempt, "status " + response.status());
		this.connection.sendResponse(response.status(), PlatformHeaders.callerHeaders(responseHead), bytes);
	}

	// The status is an answer of one target to the rest of a stream that another one has
	// begun and may finish.
	private void remainderRefused(TargetAttempt attempt, int status) {
		String reason = "status " + status + " instead of the rest of the stream";
		if (status >= SERVER_ERROR) {
			attempt.load().recordFailure(System.nanoTime());
		}
		this.log.attemptFailed(attempt, reason, this.stream.eventCount());
		if (remove(attempt)) {
			this.screening.release();
			retryOrGiveUp(reason);
		}
	}

	/**
	 * Returns whether the caller has a part of a stream.
	 * @return whether its first event was sent
	 */
	boolean streamStarted() {
		return this.stream.started();
	}

	private boolean mayHaveRunBeside(TargetAttempt attempt) {
		return this.attemptsThatMayHaveRun.stream().anyMatch((other) -> other != attempt);
	}

	private boolean mayHaveRun() {
		return !this.attemptsThatMayHaveRun.isEmpty();
	}

	private boolean continuesAfterFailure() {
		Route route = route();
		if (route.repeatable() && this.limits.allowsFurtherTarget(route().maxAttempts())
				&& placement().choose(mayHaveRun(), System.nanoTime()) instanceof PlacementResult.TargetChosen
				&& mayRetry()) {
			startAttempt();
			return true;
		}
		return this.openAttempts.waitAgain();
	}

	/**
	 * Sends the complete events of a stream to the caller.
	 * @param attempt the attempt
	 * @param responseHead head of the response
	 * @param data received bytes of the stream
	 * @return whether they complete an event
	 */
	boolean streamEvents(TargetAttempt attempt, ResponseHead responseHead, ByteBuf data) {
		if (!isOpen(attempt)) {
			return false;
		}
		ByteBuf completeEvents = this.stream.add(attempt, data);
		if (!completeEvents.isReadable()) {
			completeEvents.release();
			return false;
		}
		keepOnly(attempt);
		if (!attempt.written()) {
			attempt.markWritten();
			this.screening.answerStarted();
		}
		startStream(attempt, responseHead);
		this.connection.sendStreamData(completeEvents);
		return true;
	}

	private void startStream(TargetAttempt attempt, ResponseHead responseHead) {
		if (!this.stream.started()) {
			recordLatency(attempt);
			this.stream.start(attempt, responseHead);
		}
	}

	private void recordLatency(TargetAttempt attempt) {
		long now = System.nanoTime();
		double latencyMs = (now - attempt.sentNanos()) / (double) NANOS_PER_MS;
		attempt.load().recordSlowness(latencyMs / Math.max(1, attempt.predictedMs()), now);
		this.gateway.traffic().recordLatency(service(), latencyMs);
	}

	/**
	 * Called when a stream ended regularly.
	 * @param attempt the attempt
	 * @param responseHead head of the response
	 */
	void streamEnded(TargetAttempt attempt, ResponseHead responseHead) {
		if (!isOpen(attempt)) {
			return;
		}
		if (this.stream.endsInsideEvent(attempt)) {
			attemptFailed(attempt, HttpFailure.afterSending("read answer", attempt.target().address(),
					"the stream ended inside an event"));
			return;
		}
		keepOnly(attempt);
		startStream(attempt, responseHead);
		attempt.load().recordSuccess(System.nanoTime());
		// A target that only goes on after the last event has not shown that it survives
		// the ones before.
		if (this.stream.startedBy(attempt) && this.head.lastEventId() < 0) {
			this.screening.served();
		}
		finish("whole", attempt, "");
		this.connection.endStream();
	}

	/**
	 * Checks the deadline, the version and the silence of the target.
	 * @param now monotonic time
	 */
	void checkTimeouts(long now) {
		if (this.done) {
			return;
		}
		if (now >= this.deadlineNanos) {
			end("the deadline has passed");
			return;
		}
		if (this.awaitsRoom) {
			this.awaitsRoom = false;
			this.limits.clearLimited();
			this.screening.admit(new GuardOutcome(() -> true));
			return;
		}
		this.openAttempts.onceSilent().forEach((each) -> cancelIfOutdated(each, now));
		TargetAttempt attempt = this.openAttempts.current();
		Route route = route();
		if (this.done || attempt == null || !route.repeatable() || !mayTryAnotherTarget()
				|| cancelIfOutdated(attempt, now)) {
			return;
		}
		SilencePolicy silence = new SilencePolicy(attempt, route, this.stream.started());
		// A suspected request is at one target at a time, and so leaves a silent one
		// later.
		boolean mayLeave = this.limits.allowsTryToLeave(now)
				&& (!this.screening.onTrial() || silence.isLongerThanPause(now));
		boolean targetSilent = silence.isTargetSilent(now);
		if (targetSilent) {
			attempt.load().avoid(now);
		}
		// Silence doesn't show that the target has failed: it may go on at any moment.
		if (mayLeave && (targetSilent || silence.isResponseStalled(now)) && canContinueElsewhere(now)) {
			tryElsewhere(attempt, now);
		}
	}

	private boolean cancelIfOutdated(TargetAttempt attempt, long now) {
		boolean outdated = !this.stream.started() && !attempt.responseStarted()
				&& this.gateway.selection().runsOutdatedVersion(attempt, this.head.model(), now);
		if (outdated) {
			attempt.cancel("its version is no longer allowed");
			attemptFailed(attempt, HttpFailure.afterSending("wait for answer", attempt.target().address(),
					"the target runs a version that is no longer allowed"));
		}
		return outdated;
	}

	// The silent target keeps its attempt, since the other one may fail.
	private void tryElsewhere(TargetAttempt attempt, long now) {
		String reason = "nothing for " + attempt.responseSilentNanos(now) / NANOS_PER_MS + " ms";
		this.limits.recordTryToLeave(now);
		this.log.attemptSilent(attempt, this.stream.eventCount());
		this.attemptsThatMayHaveRun.add(attempt);
		if (this.screening.onTrial()) {
			attempt.cancel("silent");
			attemptFailed(attempt, HttpFailure.afterSending("wait for answer", attempt.target().address(), reason));
			return;
		}
		this.openAttempts.setCurrentAside();
		retryOrGiveUp(reason);
	}

	private boolean canContinueElsewhere(long now) {
		return this.limits.allowsLeaving() && hasTimeToRetry()
				&& this.gateway.traffic().allowsRetry(service().name(), now)
				&& placement().choose(mayHaveRun(), now) instanceof PlacementResult.TargetChosen chosen
				&& !chosen.candidate().limited();
	}

	/**
	 * Called when the connection of the caller has ended.
	 * @param detail what ended it, empty for a close by the caller
	 */
	void callerDisconnected(String detail) {
		if (this.done) {
			return;
		}
		finish("caller-gone", this.openAttempts.current(), detail);
	}

	/**
	 * Ends the request because this process ends. Its caller gets what is true of it: not
	 * run, an unknown outcome, or the end of a stream that is visibly incomplete.
	 */
	void processEnding() {
		if (!this.done) {
			end("this process ends");
		}
	}

	/**
	 * Resumes or pauses the response of the target.
	 * @param writable whether the caller's connection accepts more data
	 */
	void callerWritabilityChanged(boolean writable) {
		this.openAttempts.all().forEach((attempt) -> attempt.setReading(writable));
	}

	// Waits for a silent target, if there is one, because no other one can be tried.
	private void giveUp(String reason) {
		if (!this.openAttempts.waitAgain()) {
			end(reason);
		}
	}

	private void end(String reason) {
		TargetAttempt attempt = this.openAttempts.current();
		boolean attemptInFlight = this.openAttempts.all().stream().anyMatch(TargetAttempt::sent);
		switch (UnfinishedRequest.of(mayHaveRun() || attemptInFlight, this.stream.started())) {
			case RESPONSE_STARTED -> {
				finish("stream-broken", attempt, reason);
				this.connection.abort();
			}
			case MAY_HAVE_RUN -> {
				boolean deadlinePassed = System.nanoTime() >= this.deadlineNanos;
				sendError(attempt,
						ErrorResponse.unknownOutcome(
								(deadlinePassed) ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
								"outcome-unknown", reason));
			}
			case NOT_RUN ->
				sendError(attempt, ErrorResponse.notRun("unavailable", reason, retryAfterMs(RetryAfter.LATER, 0)));
		}
	}

	private long retryAfterMs(RetryAfter policy, double waitMs) {
		long waitedMs = (System.nanoTime() - this.arrivedNanos) / NANOS_PER_MS;
		return this.gateway.retryAfterMs(policy, waitMs, this.head.timeoutMs() - waitedMs);
	}

	private void sendError(ErrorResponse error) {
		sendError(this.openAttempts.current(), error);
	}

	private void sendError(@Nullable TargetAttempt lastAttempt, ErrorResponse error) {
		finish(error.reason(), lastAttempt, error.detail());
		this.connection.sendError(error, this.head.requestId());
	}

	private void finish(String outcome, @Nullable TargetAttempt lastAttempt, String detail) {
		this.done = true;
		List<TargetAttempt> cancelled = this.openAttempts.all().stream().filter(TargetAttempt::isOpen).toList();
		cancelAttempts((detail.isEmpty()) ? outcome : detail);
		this.screening.release();
		long durationMs = (System.nanoTime() - this.arrivedNanos) / NANOS_PER_MS;
		RequestAdmission.Admitted admitted = this.admission;
		this.gateway.requestCompleted(this, outcome, durationMs);
		this.gateway.metrics().attemptsCancelled(outcome, cancelled.size());
		this.log.requestEnded(new RequestLog.Summary(outcome, detail, (admitted != null) ? admitted.route().name() : "",
				this.limits.sends(), this.stream.eventCount(), durationMs, (admitted != null) ? admitted.urgency() : -1,
				cancelled), this.head, lastAttempt);
	}

	/**
	 * Continues the request when it is decided whether its target takes it.
	 */
	private final class PermitOutcome implements SharedLimits.Outcome {

		private final PlacementResult.TargetChosen chosen;

		private final LimitedTarget target;

		PermitOutcome(PlacementResult.TargetChosen chosen, LimitedTarget target) {
			this.chosen = chosen;
			this.target = target;
		}

		@Override
		public void granted() {
			long now = System.nanoTime();
			long remainingMs = (GatewayRequest.this.deadlineNanos - now) / NANOS_PER_MS;
			boolean allowed = placement().allows(this.chosen.candidate().target(), mayHaveRun(), now);
			if (!needsAttempt() || !allowed || remainingMs < MIN_ATTEMPT_MS) {
				this.target.permits().add(1, now);
				if (needsAttempt()) {
					startAttempt();
				}
				return;
			}
			send(this.chosen, remainingMs, now);
		}

		@Override
		public void denied() {
			if (needsAttempt()) {
				GatewayRequest.this.limits.recordLimited(this.chosen.candidate().target().id());
				startAttempt();
			}
		}

	}

	/**
	 * Continues the request when it is decided whether it may run.
	 */
	private final class GuardOutcome implements RequestGuard.Outcome {

		/** Withdraws the attempt from the retry budget, when it is about to start. */
		private final BooleanSupplier withdrawal;

		GuardOutcome(BooleanSupplier withdrawal) {
			this.withdrawal = withdrawal;
		}

		@Override
		public void admitted(Optional<Trial> admittedTrial) {
			if (!needsAttempt()) {
				GatewayRequest.this.screening.release();
			}
			else if (this.withdrawal.getAsBoolean()) {
				startAttempt();
			}
			else {
				GatewayRequest.this.screening.release();
				giveUp("the retry budget is used up");
			}
		}

		@Override
		public void postponed() {
			if (!needsAttempt()) {
				return;
			}
			String detail = "a target crashed under a request that has something in common with this one";
			if (mayHaveRun()) {
				giveUp(detail);
			}
			else {
				sendError(ErrorResponse.notRun("part-suspected", detail, retryAfterMs(RetryAfter.LATER, SUSPICION_MS)));
			}
		}

		@Override
		public void held() {
			if (GatewayRequest.this.stream.started()) {
				giveUpIfNeeded("the request is quarantined");
			}
			else if (!GatewayRequest.this.done) {
				rejectQuarantined();
			}
		}

	}

}
