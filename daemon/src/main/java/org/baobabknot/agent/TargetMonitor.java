package org.baobabknot.agent;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.admission.CloseReason;
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.limit.LimitStatement;
import org.baobabknot.target.StatusResult;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetKind;
import org.baobabknot.target.TargetObserver;
import org.baobabknot.target.TargetState;
import org.baobabknot.target.TargetStatus;
import org.jspecify.annotations.Nullable;

/**
 * Monitors the state of the target by polling its status and observing its connections.
 * At most one poll is in flight, so that the results arrive in order.
 */
final class TargetMonitor implements TargetObserver {

	private static final long ENGINE_POLL_INTERVAL_MS = 100;

	/**
	 * Polled less often than an engine, because a poll of a plain service opens and
	 * closes a connection.
	 */
	private static final long PLAIN_POLL_INTERVAL_MS = 500;

	/**
	 * More than one, because a single poll can time out on a busy machine while requests
	 * still succeed.
	 */
	private static final int FAILED_POLLS_UNTIL_UNAVAILABLE = 2;

	private final ProcessContext process;

	private final TargetKind kind;

	private final TargetAdmission admission;

	private final EventLoop loop;

	private volatile @Nullable TargetStatus lastStatus;

	private @Nullable Target target;

	private boolean pollInFlight;

	private boolean pollAgain;

	private int failedPolls;

	private boolean available;

	private volatile boolean closed;

	TargetMonitor(ProcessContext process, TargetKind kind, TargetAdmission admission) {
		this.process = process;
		this.kind = kind;
		this.admission = admission;
		this.loop = process.group().next();
		admission.close(CloseReason.UNAVAILABLE);
	}

	void start(Target monitored) {
		this.loop.execute(() -> {
			this.target = monitored;
			poll();
		});
		long interval = (this.kind == TargetKind.ENGINE) ? ENGINE_POLL_INTERVAL_MS : PLAIN_POLL_INTERVAL_MS;
		this.loop.scheduleWithFixedDelay(this::poll, interval, interval, TimeUnit.MILLISECONDS);
	}

	void close() {
		this.closed = true;
	}

	// Polls without waiting for the next interval; if a poll is in flight, polls again
	// after it.
	void requestPoll() {
		this.loop.execute(() -> {
			this.pollAgain = this.pollInFlight;
			poll();
		});
	}

	@Override
	public void onLimit(LimitStatement statement) {
		this.admission.recordLimit(statement);
	}

	boolean isEngine() {
		return this.kind == TargetKind.ENGINE;
	}

	Optional<TargetStatus> lastStatus() {
		return Optional.ofNullable(this.lastStatus);
	}

	private void poll() {
		Target monitored = this.target;
		if (this.pollInFlight || this.closed || monitored == null) {
			return;
		}
		this.pollInFlight = true;
		long pollStartNanos = this.process.nowNanos();
		monitored.status()
			.whenComplete((result, error) -> this.loop.execute(() -> handlePollResult(result, pollStartNanos)));
	}

	private void handlePollResult(@Nullable StatusResult result, long pollStartNanos) {
		this.pollInFlight = false;
		if (result instanceof StatusResult.Received known) {
			this.failedPolls = 0;
			updateStatus(known.status(), pollStartNanos);
		}
		else {
			String detail = (result instanceof StatusResult.Failed failed) ? failed.failure().toString() : "no result";
			boolean refused = result instanceof StatusResult.Failed failed && !failed.failure().sent();
			this.failedPolls++;
			if (refused || this.failedPolls >= FAILED_POLLS_UNTIL_UNAVAILABLE) {
				markUnavailable(detail);
			}
		}
		if (this.pollAgain) {
			this.pollAgain = false;
			poll();
		}
	}

	private void updateStatus(TargetStatus status, long pollStartNanos) {
		TargetStatus previous = this.lastStatus;
		this.lastStatus = status;
		boolean serving = status.state() == TargetState.COLD || status.state() == TargetState.READY;
		if (previous != null && previous.incarnation() != status.incarnation()) {
			this.process.events().record("target-restarted", "incarnation " + status.incarnation());
		}
		if (!serving) {
			markUnavailable("state is " + status.state());
		}
		this.admission.limiter()
			.onStatusReport(status.incarnation(), status.state() == TargetState.COLD, pollStartNanos,
					this.process.nowNanos());
		if (serving && !this.available) {
			this.available = true;
			this.process.events().record("target-available", status.version() + " in state " + status.state());
			this.admission.reopen(CloseReason.UNAVAILABLE);
		}
		this.admission.startQueued();
	}

	private void markUnavailable(String detail) {
		if (this.available) {
			this.available = false;
			this.process.events().record("target-unavailable", detail);
			this.admission.close(CloseReason.UNAVAILABLE);
		}
	}

	// The time at which this status was requested is unknown here. A status whose
	// incarnation differs from that of the last poll is therefore not adopted; it stops
	// admission until the next poll.
	@Override
	public boolean mayUseConnection(TargetStatus status) {
		TargetStatus known = this.lastStatus;
		if (known != null && known.incarnation() != status.incarnation()) {
			handlePossibleRestart();
		}
		return true;
	}

	// A restarted engine is detected by its incarnation when a new connection is opened.
	// For a plain service, a closed idle connection is the only indication of a restart.
	@Override
	public void onConnectionLost(boolean idle) {
		if (!idle || this.kind == TargetKind.PLAIN) {
			handlePossibleRestart();
		}
	}

	// Falls back to the cold limit, because the target may have restarted.
	void handlePossibleRestart() {
		this.admission.limiter().onConnectionLost(this.process.nowNanos());
		requestPoll();
	}

}
