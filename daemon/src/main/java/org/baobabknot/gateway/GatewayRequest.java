package org.baobabknot.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.baobabknot.fleet.EngineSpeed;
import org.baobabknot.fleet.RequestKind;
import org.baobabknot.fleet.Route;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.placement.PlacementResult;
import org.baobabknot.placement.RequestEstimate;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.placement.TrialPlacement;
import org.baobabknot.provider.CallerRequestHead;
import org.baobabknot.provider.PlatformHeaders;
import org.baobabknot.provider.TargetResponseHead;
import org.baobabknot.quarantine.RequestVerdict;
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

	/** Tolerated silence before the first byte, as a multiple of the objective. */
	private static final double FIRST_BYTE_SILENCE_RATIO = 2.5;

	/** Tolerated silence within a stream, as a multiple of the allowed pause. */
	private static final double STREAM_SILENCE_RATIO = 2.5;

	/** Lower bound of the tolerated silence. */
	private static final long MIN_SILENCE_MS = 500;

	/**
	 * Silence of one stream after which its attempt is abandoned although the target
	 * sends other responses: longer than a batch may delay a stream, and shorter than
	 * callers wait.
	 */
	private static final long STALLED_STREAM_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/**
	 * Attempts that cost no target any work, such as addresses that belong to another
	 * target.
	 */
	private static final int MAX_ATTEMPTS_NOT_RUN = 4;

	/** Targets whose crash one request finds out before it is refused. */
	private static final int MAX_REFUSED_CONNECTIONS = 16;

	/** Largest event of a stream; typical events have less than 1 kB. */
	private static final int MAX_EVENT_BYTES = 128 << 10;

	/** Time in which a suspected request is served or crashes its target. */
	private static final double SUSPICION_MS = 250;

	/**
	 * Time from the first event of a suspected request after which the next one with the
	 * same traits may run, although the response is not whole.
	 */
	private static final long TRIAL_ANSWER_MS = 300;

	/** Objective for the first byte on routes that define none. */
	private static final long DEFAULT_OBJECTIVE_MS = 1_000;

	private final Gateway gateway;

	private final GatewayConnection connection;

	private final CallerRequestHead head;

	private final RequestLog log;

	private final HttpHeaders headers;

	private final byte[] body;

	private final long arrivedNanos = System.nanoTime();

	private final Set<String> triedTargets = new HashSet<>();

	private final RequestTraits requestTraits;

	/** All of its traits. */
	private final List<Long> traits;

	private @Nullable Trial trial;

	private RequestAdmission.@Nullable Admitted admission;

	private long deadlineNanos;

	private int attempts;

	private int attemptsNotRun;

	private int refusedConnections;

	private boolean mayHaveRun;

	private boolean streaming;

	private boolean done;

	private @Nullable TargetAttempt currentAttempt;

	private @Nullable TargetAttempt streamStartedBy;

	private @Nullable StreamEventParser streamEvents;

	GatewayRequest(Gateway gateway, GatewayConnection connection, CallerRequestHead head, HttpHeaders headers,
			byte[] body) {
		this.gateway = gateway;
		this.connection = connection;
		this.head = head;
		this.headers = headers;
		this.body = body;
		this.requestTraits = RequestTraits.of(head, body);
		this.traits = this.requestTraits.all();
		this.log = new RequestLog(gateway, head, this.requestTraits);
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
		if (!this.gateway.outlasts(this.deadlineNanos)) {
			sendError(ErrorResponse.notRun("stopping", "this process may end before the request",
					retryAfterMs(RetryAfter.ELSEWHERE, 0)));
			return;
		}
		this.gateway.requestAdmitted(this, admitted.service().name());
		this.gateway.requestGuard().admit(this.traits, new GuardOutcome());
	}

	/**
	 * Returns whether the request waits for the first byte of its response and has one of
	 * some traits.
	 * @param candidates the traits
	 * @return whether it has
	 */
	boolean awaitsResponseWith(Collection<Long> candidates) {
		TargetAttempt attempt = this.currentAttempt;
		return attempt != null && !attempt.responseStarted() && candidates.stream().anyMatch(this.traits::contains);
	}

	/**
	 * Ends the request if it is quarantined and no target has responded to it. The work
	 * of its target is cancelled, which can keep the target from crashing.
	 */
	void rejectIfQuarantined() {
		if (!this.done && !this.streaming
				&& this.gateway.requestGuard().verdict(this.traits) == RequestVerdict.QUARANTINED) {
			rejectQuarantined();
		}
	}

	private void rejectQuarantined() {
		TargetAttempt attempt = this.currentAttempt;
		if (attempt != null) {
			attempt.cancel("the request is quarantined");
		}
		if (this.streaming) {
			giveUp("the request is quarantined");
		}
		else {
			sendError(ErrorResponse.harmfulPrompt());
		}
	}

	private void releaseTrial() {
		Trial heldTrial = this.trial;
		if (heldTrial != null) {
			releaseTrial(heldTrial);
		}
	}

	private void releaseTrial(Trial heldTrial) {
		if (this.trial == heldTrial) {
			this.trial = null;
			this.gateway.requestGuard().release(heldTrial);
		}
	}

	private Route route() {
		return Objects.requireNonNull(this.admission).route();
	}

	private ServiceDefinition service() {
		return Objects.requireNonNull(this.admission).service();
	}

	private void startAttempt() {
		RequestAdmission.Admitted admitted = Objects.requireNonNull(this.admission);
		ServiceDefinition service = admitted.service();
		long now = System.nanoTime();
		long remainingMs = (this.deadlineNanos - now) / NANOS_PER_MS;
		if (remainingMs < MIN_ATTEMPT_MS) {
			giveUp("no time is left");
			return;
		}
		PlacementResult result = this.gateway.chooseTarget(service, this.head.model(), admitted.regions(),
				this.triedTargets, work(admitted.route(), service, now, remainingMs), trialPlacement(),
				this.requestTraits.content());
		if (result instanceof PlacementResult.TargetChosen chosen) {
			send(chosen, remainingMs, now);
		}
		else if (result instanceof PlacementResult.TargetsBusy busy) {
			refuse("busy", "predicted wait " + Math.round(busy.waitMs()) + " ms", RetryAfter.LATER, busy.waitMs());
		}
		else if (result instanceof PlacementResult.TargetsResting resting) {
			refuse("resting", "all targets rest for " + resting.waitMs() + " ms", RetryAfter.AFTER_REST,
					resting.waitMs());
		}
		else {
			giveUp("no target of " + service.name() + " is available");
		}
	}

	private TrialPlacement trialPlacement() {
		if (this.trial == null) {
			return TrialPlacement.NONE;
		}
		return (this.mayHaveRun) ? TrialPlacement.SPREAD : TrialPlacement.LEAST_WORK;
	}

	private void refuse(String reason, String detail, RetryAfter policy, double waitMs) {
		if (this.mayHaveRun || this.streaming) {
			giveUp("all targets are " + reason);
		}
		else {
			sendError(ErrorResponse.notRun(reason, detail, retryAfterMs(policy, waitMs)));
		}
	}

	private RequestEstimate work(Route route, ServiceDefinition service, long now, long remainingMs) {
		EngineSpeed pace = service.engineSpeed();
		double objectiveMs = objectiveMs(route) - (now - this.arrivedNanos) / (double) NANOS_PER_MS;
		// A request that may have run, or was tried before, is not refused because the
		// targets have no free slots, so competing requests are not counted.
		boolean refusable = this.attempts == 0 && this.attemptsNotRun == 0 && !this.mayHaveRun;
		double competingPerSecond = (refusable) ? this.gateway.requestsPerSecond(service.name(), now) : 0;
		if (pace == null) {
			double averageMs = this.gateway.averageLatencyMs(service.name());
			return new RequestEstimate(averageMs, averageMs, objectiveMs, remainingMs, competingPerSecond);
		}
		double promptTokens = this.head.promptTokens();
		double promptMs = ((promptTokens >= 0) ? promptTokens : pace.promptTokens()) / pace.promptTokensPerMs();
		double firstMs = promptMs + pace.stepMs() * pace.stepsPerEvent();
		return new RequestEstimate(firstMs, pace.occupancyMs(16, promptTokens, this.head.expectedOutputTokens()),
				objectiveMs, remainingMs, competingPerSecond);
	}

	private static long objectiveMs(Route route) {
		return (route.objectiveMs() > 0) ? route.objectiveMs() : DEFAULT_OBJECTIVE_MS;
	}

	private void send(PlacementResult.TargetChosen chosen, long remainingMs, long now) {
		Route route = route();
		boolean expectsStream = route.kind() == RequestKind.STREAM;
		TargetRecord target = chosen.candidate().target();
		TargetAttempt attempt = new TargetAttempt(this, this.gateway.responseBudget(), target,
				this.gateway.pooledTarget(target), this.head.requestId(), expectsStream, chosen.predictedMs(), now);
		this.currentAttempt = attempt;
		this.attempts++;
		this.triedTargets.add(target.id());
		StreamEventParser parser = this.streamEvents;
		long resumeAfter = (parser != null && parser.eventCount() > 0) ? parser.lastEventId() : -1;
		RequestAdmission.Admitted admitted = Objects.requireNonNull(this.admission);
		this.gateway.send(attempt, this.head, this.headers, this.body, admitted.workspace(), admitted.urgency(),
				remainingMs, resumeAfter);
	}

	/**
	 * Called when a target did not run the request and never will.
	 * @param attempt the attempt
	 * @param reason cause of the failure
	 * @param cause why the request has not run
	 */
	void attemptNotRun(TargetAttempt attempt, String reason, NotRunCause cause) {
		if (attempt != this.currentAttempt || this.done) {
			return;
		}
		this.currentAttempt = null;
		long now = System.nanoTime();
		if (!cause.reachesTarget() || attempt.load().estimatedRequests(now) < attempt.target().slots()) {
			attempt.load().recordFailure(now);
		}
		if (!cause.reachesTarget()) {
			// The target can't be reached or another one has its address. It stays listed
			// until its entry expires.
			attempt.load().avoid(now);
		}
		else {
			attempt.load()
				.recordResponseLoad(Math.max(attempt.target().slots() * 2, (int) attempt.load().estimatedRequests(now)),
						now);
		}
		this.log.attemptFailed(attempt, reason, eventCount());
		this.attempts--;
		this.attemptsNotRun++;
		this.refusedConnections += (cause.costsTarget()) ? 0 : 1;
		boolean mayContinue = (cause.costsTarget())
				? this.attemptsNotRun - this.refusedConnections <= MAX_ATTEMPTS_NOT_RUN && mayRetry()
				: this.refusedConnections <= MAX_REFUSED_CONNECTIONS && hasTimeToRetry();
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
		if (attempt != this.currentAttempt || this.done) {
			return;
		}
		this.currentAttempt = null;
		this.mayHaveRun = true;
		attempt.load().recordFailure(System.nanoTime());
		this.log.attemptFailed(attempt, failure.toString(), eventCount());
		String reason = failure.toString();
		if (failure.kind() != HttpFailure.Kind.CONNECTION_LOST) {
			releaseTrial();
			retryOrGiveUp(reason);
			return;
		}
		// One crash in the middle of a response does not make a request suspected, so the
		// stream goes on before the crash is certain.
		boolean continues = attempt.written() && !this.gateway.requestGuard().hasEvidence(this.traits);
		attempt.pooledTarget()
			.crashProbe()
			.hasCrashed()
			.thenAccept(
					(crashed) -> crashChecked(attempt, crashed, (continues) ? Optional.empty() : Optional.of(reason)));
		if (continues) {
			retryOrGiveUp(reason);
		}
	}

	private void crashChecked(TargetAttempt attempt, boolean crashed, Optional<String> reason) {
		RequestGuard guard = this.gateway.requestGuard();
		if (crashed) {
			guard.recordCrash(attempt.target(), this.traits, attempt.written());
		}
		if (reason.isEmpty()) {
			return;
		}
		releaseTrial();
		if (this.done) {
			return;
		}
		if (guard.suspectedTraits(this.requestTraits.sharedParts()).isEmpty()) {
			retryOrGiveUp(reason.get());
		}
		else {
			// Another entry may know a part to be harmless.
			this.gateway.loop()
				.schedule(() -> partsSuspected(reason.get()), RequestGuard.ROUND_TRIP_MS, TimeUnit.MILLISECONDS);
		}
	}

	// A part that several requests have and that was in a crash is more likely to be the
	// cause than the rest of a request, so only the caller sends it again.
	private void partsSuspected(String reason) {
		if (this.done) {
			return;
		}
		if (this.gateway.requestGuard().suspectedTraits(this.requestTraits.sharedParts()).isEmpty()
				|| !this.gateway.requestGuard().verdict(this.traits).mayRun()) {
			retryOrGiveUp(reason);
		}
		else {
			giveUp(reason);
		}
	}

	private int eventCount() {
		StreamEventParser parser = this.streamEvents;
		return (parser != null) ? parser.eventCount() : 0;
	}

	private void retryOrGiveUp(String reason) {
		Route route = route();
		StreamEventParser parser = this.streamEvents;
		if (parser != null) {
			parser.takePending().release();
		}
		if (!this.gateway.requestGuard().verdict(this.traits).mayRun()) {
			rejectQuarantined();
		}
		else if (route.repeatable() && this.attempts < route.maxAttempts() && mayRetry()) {
			this.gateway.requestGuard().admit(this.traits, new GuardOutcome());
		}
		else {
			giveUp(reason);
		}
	}

	private boolean mayRetry() {
		return hasTimeToRetry() && this.gateway.tryRetry(service().name());
	}

	private boolean hasTimeToRetry() {
		long now = System.nanoTime();
		// A caller that has waited this long disconnects before a first event could
		// arrive.
		boolean callerLikelyGone = !this.streaming
				&& now - this.arrivedNanos > (route().callerTimeoutMs() - objectiveMs(route())) * NANOS_PER_MS;
		return !callerLikelyGone && now + MIN_ATTEMPT_MS * NANOS_PER_MS < this.deadlineNanos;
	}

	/**
	 * Called when a complete response other than a stream was received.
	 * @param attempt the attempt
	 * @param response decoded head of the response
	 * @param responseHead status and headers as received
	 * @param bytes body
	 */
	void responseReceived(TargetAttempt attempt, TargetResponseHead response, ResponseHead responseHead, byte[] bytes) {
		if (attempt != this.currentAttempt || this.done) {
			return;
		}
		Route route = route();
		long now = System.nanoTime();
		boolean serverError = response.status() >= 500;
		if (serverError) {
			this.mayHaveRun = true;
			attempt.load().recordFailure(now);
			this.log.attemptFailed(attempt, "status " + response.status(), eventCount());
			if (this.streaming) {
				this.currentAttempt = null;
				retryOrGiveUp("status " + response.status());
				return;
			}
			if (route.repeatable() && this.attempts < route.maxAttempts() && mayRetry()) {
				this.currentAttempt = null;
				startAttempt();
				return;
			}
		}
		else {
			attempt.load().recordSuccess(now);
			if (response.isSuccess()) {
				this.gateway.requestGuard().recordServed(this.traits);
			}
			this.gateway.recordLatency(attempt, (now - attempt.sentNanos()) / (double) NANOS_PER_MS, service());
		}
		if (this.streaming) {
			giveUp("status " + response.status() + " instead of the rest of the stream");
			return;
		}
		finish((serverError) ? "target-failed" : "whole", attempt, "status " + response.status());
		this.connection.sendResponse(response.status(), PlatformHeaders.callerHeaders(responseHead), bytes);
	}

	/**
	 * Sends the complete events of a stream to the caller.
	 * @param attempt the attempt
	 * @param responseHead head of the response
	 * @param data received bytes of the stream
	 * @return whether they complete an event
	 */
	boolean streamEvents(TargetAttempt attempt, ResponseHead responseHead, ByteBuf data) {
		if (attempt != this.currentAttempt || this.done) {
			return false;
		}
		StreamEventParser parser = this.streamEvents;
		if (parser == null) {
			parser = new StreamEventParser(this.head.lastEventId());
			this.streamEvents = parser;
		}
		ByteBuf completeEvents = parser.add(data);
		if (!completeEvents.isReadable()) {
			completeEvents.release();
			if (parser.pendingBytes() > MAX_EVENT_BYTES) {
				attempt.abortOversized("an event of more than " + MAX_EVENT_BYTES + " bytes");
			}
			return false;
		}
		if (!attempt.written()) {
			attempt.markWritten();
			Trial answeredTrial = this.trial;
			if (answeredTrial != null) {
				this.gateway.loop().schedule(() -> releaseTrial(answeredTrial), TRIAL_ANSWER_MS, TimeUnit.MILLISECONDS);
			}
		}
		startStream(attempt, responseHead);
		this.connection.sendStreamData(completeEvents);
		return true;
	}

	private void startStream(TargetAttempt attempt, ResponseHead responseHead) {
		if (this.streaming) {
			return;
		}
		this.streaming = true;
		this.streamStartedBy = attempt;
		long now = System.nanoTime();
		this.gateway.recordLatency(attempt, (now - attempt.sentNanos()) / (double) NANOS_PER_MS, service());
		this.connection.startStream(PlatformHeaders.decodeResponse(responseHead).status(),
				PlatformHeaders.callerHeaders(responseHead));
	}

	/**
	 * Called when a stream ended regularly.
	 * @param attempt the attempt
	 * @param responseHead head of the response
	 */
	void streamEnded(TargetAttempt attempt, ResponseHead responseHead) {
		if (attempt != this.currentAttempt || this.done) {
			return;
		}
		StreamEventParser parser = this.streamEvents;
		if (parser != null && parser.pendingBytes() > 0) {
			attemptFailed(attempt, HttpFailure.afterSending("read answer", attempt.target().address(),
					"the stream ended inside an event"));
			return;
		}
		startStream(attempt, responseHead);
		attempt.load().recordSuccess(System.nanoTime());
		// A target that only goes on after the last event has not shown that it survives
		// the
		// events before.
		if (this.streamStartedBy == attempt && this.head.lastEventId() < 0) {
			this.gateway.requestGuard().recordServed(this.traits);
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
		TargetAttempt attempt = this.currentAttempt;
		if (now >= this.deadlineNanos) {
			giveUp("the deadline has passed");
			return;
		}
		Route route = route();
		if (attempt == null || !route.repeatable() || this.attempts >= route.maxAttempts()) {
			return;
		}
		if (!this.streaming && !attempt.responseStarted()
				&& this.gateway.runsOutdatedVersion(attempt, this.head.model(), now)) {
			attempt.cancel("its version is no longer allowed");
			attemptFailed(attempt, HttpFailure.afterSending("wait for answer", attempt.target().address(),
					"the target runs a version that is no longer allowed"));
			return;
		}
		double allowedMs = Math.max(MIN_SILENCE_MS,
				(this.streaming) ? STREAM_SILENCE_RATIO * Math.max(1, route.pauseObjectiveMs())
						: FIRST_BYTE_SILENCE_RATIO * objectiveMs(route));
		long silentMs = attempt.targetSilentNanos(now) / NANOS_PER_MS;
		boolean targetSilent = silentMs > allowedMs;
		if (targetSilent) {
			attempt.load().avoid(now);
		}
		if (targetSilent || (attempt.responseSilentNanos(now) / NANOS_PER_MS > allowedMs && stalled(attempt, now))) {
			attempt.cancel("silent");
			attemptFailed(attempt, HttpFailure.afterSending("wait for answer", attempt.target().address(),
					"nothing for " + attempt.responseSilentNanos(now) / NANOS_PER_MS + " ms"));
		}
	}

	// Whether the target responds to other requests but not to this one, although this
	// one isn't queued there.
	private boolean stalled(TargetAttempt attempt, long now) {
		return (this.streaming)
				? attempt.responseSilentNanos(now) > attempt.targetSilentNanos(now) + STALLED_STREAM_NANOS
				: attempt.load().estimatedRequests(now) <= attempt.target().slots();
	}

	/**
	 * Called when the caller has closed its connection.
	 */
	void callerDisconnected() {
		if (this.done) {
			return;
		}
		TargetAttempt attempt = this.currentAttempt;
		if (attempt != null) {
			attempt.cancel("the caller closed its connection");
		}
		finish("caller-gone", attempt, "");
	}

	/**
	 * Resumes or pauses the response of the target.
	 * @param writable whether the caller's connection accepts more data
	 */
	void callerWritabilityChanged(boolean writable) {
		TargetAttempt attempt = this.currentAttempt;
		if (attempt != null) {
			attempt.setReading(writable);
		}
	}

	private void giveUp(String reason) {
		TargetAttempt attempt = this.currentAttempt;
		boolean attemptInFlight = attempt != null;
		if (attempt != null) {
			attempt.cancel(reason);
		}
		if (this.streaming) {
			finish("stream-broken", attempt, reason);
			this.connection.abort();
		}
		else if (this.mayHaveRun || attemptInFlight) {
			boolean deadlinePassed = System.nanoTime() >= this.deadlineNanos;
			sendError(ErrorResponse.unknownOutcome(
					(deadlinePassed) ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
					"outcome-unknown", reason));
		}
		else {
			sendError(ErrorResponse.notRun("unavailable", reason, retryAfterMs(RetryAfter.LATER, 0)));
		}
	}

	private long retryAfterMs(RetryAfter policy, double waitMs) {
		long waitedMs = (System.nanoTime() - this.arrivedNanos) / NANOS_PER_MS;
		return this.gateway.retryAfterMs(policy, waitMs, this.head.timeoutMs() - waitedMs);
	}

	private void sendError(ErrorResponse error) {
		finish(error.reason(), this.currentAttempt, error.detail());
		this.connection.sendError(error, this.head.requestId());
	}

	private void finish(String outcome, @Nullable TargetAttempt lastAttempt, String detail) {
		this.done = true;
		this.currentAttempt = null;
		releaseTrial();
		long durationMs = (System.nanoTime() - this.arrivedNanos) / NANOS_PER_MS;
		RequestAdmission.Admitted admitted = this.admission;
		this.gateway.requestCompleted(this, outcome, durationMs);
		this.log.requestEnded(new RequestLog.Summary(outcome, detail, (admitted != null) ? admitted.route().name() : "",
				this.attempts + this.attemptsNotRun, eventCount(), durationMs,
				(admitted != null) ? admitted.urgency() : -1), this.head, lastAttempt);
	}

	/**
	 * Continues the request when it is decided whether it may run.
	 */
	private final class GuardOutcome implements RequestGuard.Outcome {

		@Override
		public void admitted(Optional<Trial> admittedTrial) {
			GatewayRequest.this.trial = admittedTrial.orElse(null);
			if (GatewayRequest.this.done) {
				releaseTrial();
			}
			else {
				startAttempt();
			}
		}

		@Override
		public void postponed() {
			if (GatewayRequest.this.done) {
				return;
			}
			String detail = "a target crashed under a request that has something in common with this one";
			if (GatewayRequest.this.mayHaveRun) {
				giveUp(detail);
			}
			else {
				sendError(ErrorResponse.notRun("part-suspected", detail, retryAfterMs(RetryAfter.LATER, SUSPICION_MS)));
			}
		}

		@Override
		public void held() {
			if (!GatewayRequest.this.done) {
				rejectQuarantined();
			}
		}

	}

}
