package org.baobabknot.agent;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.admission.CloseReason;
import org.baobabknot.daemon.Node;
import org.baobabknot.target.StatusResult;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetKind;
import org.baobabknot.target.TargetObserver;
import org.baobabknot.target.TargetState;
import org.baobabknot.target.TargetStatus;
import org.jspecify.annotations.Nullable;

/**
 * Follows the state of the target by polling its status and by what happens to the
 * connections. At most one poll is open, so its results are in order.
 */
final class TargetWatch implements TargetObserver {

	private static final long ENGINE_POLL_MILLIS = 100;

	/**
	 * A poll of a plain service is a connection that is opened and closed.
	 */
	private static final long PLAIN_POLL_MILLIS = 500;

	/**
	 * A single poll can time out on a busy machine while requests still succeed.
	 */
	private static final int FAILED_POLLS = 2;

	private final Node node;

	private final TargetKind kind;

	private final Admission admission;

	private final EventLoop loop;

	private volatile @Nullable TargetStatus last;

	private @Nullable Target target;

	private boolean polling;

	private boolean pollAgain;

	private int failures;

	private boolean reachable;

	private volatile boolean closed;

	TargetWatch(Node node, TargetKind kind, Admission admission) {
		this.node = node;
		this.kind = kind;
		this.admission = admission;
		this.loop = node.group().next();
		admission.close(CloseReason.UNAVAILABLE);
	}

	void start(Target watched) {
		this.loop.execute(() -> {
			this.target = watched;
			poll();
		});
		long interval = (this.kind == TargetKind.ENGINE) ? ENGINE_POLL_MILLIS : PLAIN_POLL_MILLIS;
		this.loop.scheduleWithFixedDelay(this::poll, interval, interval, TimeUnit.MILLISECONDS);
	}

	void close() {
		this.closed = true;
	}

	// Asks for the status now.
	void pollSoon() {
		this.loop.execute(() -> {
			this.pollAgain = this.polling;
			poll();
		});
	}

	boolean engine() {
		return this.kind == TargetKind.ENGINE;
	}

	Optional<TargetStatus> last() {
		return Optional.ofNullable(this.last);
	}

	private void poll() {
		Target watched = this.target;
		if (this.polling || this.closed || watched == null) {
			return;
		}
		this.polling = true;
		long asked = this.node.now();
		watched.status().whenComplete((result, error) -> this.loop.execute(() -> polled(result, asked)));
	}

	private void polled(@Nullable StatusResult result, long asked) {
		this.polling = false;
		if (result instanceof StatusResult.Received known) {
			this.failures = 0;
			observe(known.status(), asked);
		}
		else {
			String detail = (result instanceof StatusResult.Failed failed) ? failed.failure().toString() : "no result";
			boolean refused = result instanceof StatusResult.Failed failed && !failed.failure().sent();
			this.failures++;
			if (refused || this.failures >= FAILED_POLLS) {
				unavailable(detail);
			}
		}
		if (this.pollAgain) {
			this.pollAgain = false;
			poll();
		}
	}

	private void observe(TargetStatus status, long asked) {
		TargetStatus before = this.last;
		this.last = status;
		boolean serves = status.state() == TargetState.COLD || status.state() == TargetState.READY;
		if (before != null && before.incarnation() != status.incarnation()) {
			this.node.events().record("target-restarted", "incarnation " + status.incarnation());
		}
		if (!serves) {
			unavailable("state is " + status.state());
		}
		this.admission.limiter()
			.targetObserved(status.incarnation(), status.state() == TargetState.COLD, asked, this.node.now());
		if (serves && !this.reachable) {
			this.reachable = true;
			this.node.events().record("target-available", status.version() + " in state " + status.state());
			this.admission.reopen(CloseReason.UNAVAILABLE);
		}
		this.admission.pump();
	}

	private void unavailable(String detail) {
		if (this.reachable) {
			this.reachable = false;
			this.node.events().record("target-unavailable", detail);
			this.admission.close(CloseReason.UNAVAILABLE);
		}
	}

	// The time at which the status was asked for is not known here, so a report that
	// contradicts the last poll stops admission until the next poll.
	@Override
	public boolean mayUseConnection(TargetStatus status) {
		TargetStatus known = this.last;
		if (known != null && known.incarnation() != status.incarnation()) {
			suspect();
		}
		return true;
	}

	// An engine that restarted is noticed by its incarnation when a new connection is
	// opened; for a plain service a closed idle connection is the only sign.
	@Override
	public void onConnectionLost(boolean idle) {
		if (!idle || this.kind == TargetKind.PLAIN) {
			suspect();
		}
	}

	// Falls back to the cold limit because the target may have restarted.
	void suspect() {
		this.admission.limiter().connectionLost(this.node.now());
		pollSoon();
	}

}
