package org.baobabknot.distribution;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Reserves the staging area of an engine for one version at a time. The engine keeps
 * whatever was written last and loads what is staged when it accepts an order, so between
 * the verification of a version and that moment nothing else may be written. A call that
 * got no response may still take effect. Another version therefore gets the area only
 * when no write and no order for the version before it can take effect any more.
 * <p>
 * An order names the number of orders that the engine has accepted before. One without a
 * response is over when the engine has accepted some order under that number or has
 * started again; until then it is sent again, so that one of both is accepted. Confined
 * to one thread.
 */
public final class StagingReservation {

	/**
	 * Time for which an engine that responds again may still execute calls that it had
	 * not responded to. It is longer than the timeout of such a call.
	 */
	static final long LATE_CALL_NANOS = TimeUnit.SECONDS.toNanos(2);

	private long requestedVersion;

	private long version;

	private int writes;

	/** Whether a call without a response may still take effect. */
	private boolean lateCalls = true;

	private long lateCallsEndNanos;

	private boolean lateCallsEndKnown;

	private long unansweredNanos;

	private @Nullable Verification verification;

	private @Nullable Order order;

	private boolean orderUnanswered;

	/**
	 * Creates the reservation of an engine to which an earlier process may have sent
	 * calls.
	 * @param nowNanos monotonic time
	 */
	public StagingReservation(long nowNanos) {
		this.unansweredNanos = nowNanos;
	}

	/**
	 * Requests the staging area for a version, which gets it as soon as nothing that was
	 * sent for the version before can take effect any more. A verification that has not
	 * led to an order is void then.
	 * @param requested the version
	 * @param nowNanos monotonic time
	 */
	public void request(long requested, long nowNanos) {
		this.requestedVersion = requested;
		transfer(nowNanos);
	}

	private void transfer(long nowNanos) {
		if (this.lateCallsEndKnown && nowNanos - this.lateCallsEndNanos >= 0) {
			clearLateCalls();
		}
		if (this.version != this.requestedVersion && this.writes == 0 && !this.lateCalls && this.order == null) {
			this.version = this.requestedVersion;
			this.verification = null;
		}
	}

	private void clearLateCalls() {
		this.lateCalls = false;
		this.lateCallsEndKnown = false;
	}

	/**
	 * Returns whether chunks of a version may be written.
	 * @param candidate the version
	 * @return true for the version that has the area, until another one is requested; an
	 * order without a response prolongs it
	 */
	public boolean mayWrite(long candidate) {
		return candidate == this.version && (candidate == this.requestedVersion || this.order != null);
	}

	/**
	 * Records that a chunk of the version that has the area is being written.
	 */
	public void recordWrite() {
		this.writes++;
	}

	/**
	 * Records the end of a write.
	 * @param certain whether the write can't take effect later: there was a response, or
	 * it was not sent
	 * @param nowNanos monotonic time
	 */
	public void recordWriteEnd(boolean certain, long nowNanos) {
		this.writes--;
		if (!certain) {
			this.lateCalls = true;
			this.lateCallsEndKnown = false;
			this.unansweredNanos = nowNanos;
		}
	}

	/**
	 * Begins to verify the staged chunks, before an order.
	 * @param candidate version to be ordered
	 * @param startMs start of the engine, in ms since 1970
	 * @param acceptedOrders orders that the engine has accepted
	 * @return the verification, or empty if the version doesn't have the area, its chunks
	 * are being written, or a verification or an order is under way
	 */
	public Optional<Verification> beginVerification(long candidate, long startMs, long acceptedOrders) {
		boolean underWay = this.verification != null || (this.order != null && !this.orderUnanswered);
		if (!mayWrite(candidate) || this.writes > 0 || underWay) {
			return Optional.empty();
		}
		Verification begun = new Verification(candidate, startMs, acceptedOrders);
		this.verification = begun;
		return Optional.of(begun);
	}

	/**
	 * Ends a verification that leads to no order.
	 * @param ended the verification
	 */
	public void endVerification(Verification ended) {
		if (this.verification == ended) {
			this.verification = null;
		}
	}

	/**
	 * Decides on the order after a verification, when it is about to be sent.
	 * @param verified the verification
	 * @param startMs start of the engine now, in ms since 1970
	 * @param acceptedOrders orders that the engine has accepted now
	 * @return the order to send, or empty if the chunks may have changed since the
	 * verification began
	 */
	public Optional<Order> beginOrder(Verification verified, long startMs, long acceptedOrders) {
		boolean unchanged = this.verification == verified && this.writes == 0 && mayWrite(verified.version())
				&& verified.startMs() == startMs && verified.acceptedOrders() == acceptedOrders;
		endVerification(verified);
		if (!unchanged) {
			return Optional.empty();
		}
		Order begun = new Order(verified.version(), startMs, acceptedOrders);
		this.order = begun;
		return Optional.of(begun);
	}

	/**
	 * Records what came of an order.
	 * @param ended the order
	 * @param outcome what came of it
	 * @param nowNanos monotonic time
	 */
	public void recordOrderEnd(Order ended, OrderOutcome outcome, long nowNanos) {
		if (this.order != ended) {
			return;
		}
		this.orderUnanswered |= !outcome.certain();
		if (outcome == OrderOutcome.ACCEPTED || !this.orderUnanswered) {
			clearOrder();
		}
		transfer(nowNanos);
	}

	private void clearOrder() {
		this.order = null;
		this.orderUnanswered = false;
	}

	/**
	 * Returns the version whose order got no response and may still be accepted, and is
	 * to be ordered again.
	 * @return the version, or empty if there is none
	 */
	public Optional<Long> unansweredOrder() {
		return Optional.ofNullable(this.order).filter((sent) -> this.orderUnanswered).map(Order::version);
	}

	/**
	 * Records a response of the engine about its state.
	 * @param startMs start of the engine, in ms since 1970
	 * @param acceptedOrders orders that the engine has accepted since
	 * @param sentNanos monotonic time at which the request was sent
	 * @param nowNanos monotonic time
	 */
	public void recordState(long startMs, long acceptedOrders, long sentNanos, long nowNanos) {
		Order sent = this.order;
		if (sent != null && (sent.startMs() != startMs || acceptedOrders > sent.acceptedOrders())) {
			clearOrder();
		}
		if (this.lateCalls && !this.lateCallsEndKnown && sentNanos - this.unansweredNanos >= 0) {
			this.lateCallsEndKnown = true;
			this.lateCallsEndNanos = nowNanos + LATE_CALL_NANOS;
		}
		transfer(nowNanos);
	}

	/**
	 * Records that nothing listens at the address of the engine, so that no call can take
	 * effect any more that was sent before.
	 * @param nowNanos monotonic time
	 */
	public void recordEngineEnded(long nowNanos) {
		clearOrder();
		clearLateCalls();
		transfer(nowNanos);
	}

	/**
	 * A verification of the staged chunks.
	 *
	 * @param version version to be ordered
	 * @param startMs start of the engine, in ms since 1970
	 * @param acceptedOrders orders that the engine had accepted when it began
	 */
	public record Verification(long version, long startMs, long acceptedOrders) {
	}

	/**
	 * A load order.
	 *
	 * @param version version to be loaded
	 * @param startMs start of the engine to which it is sent, in ms since 1970
	 * @param acceptedOrders number of accepted orders that it names
	 */
	public record Order(long version, long startMs, long acceptedOrders) {
	}

	/**
	 * What came of a load order.
	 */
	public enum OrderOutcome {

		/** The engine loads the version or holds it. */
		ACCEPTED(true),

		/** The engine has responded that it won't load, or the order was not sent. */
		REJECTED(true),

		/** There was no response. The engine may accept the order at any time. */
		UNANSWERED(false);

		private static final int OK = 200;

		private static final int ACCEPTED_STATUS = 202;

		private static final int SERVER_ERROR = 500;

		private final boolean certain;

		OrderOutcome(boolean certain) {
			this.certain = certain;
		}

		/**
		 * Returns the outcome that a response states.
		 * @param status status of the response
		 * @return the outcome
		 */
		public static OrderOutcome of(int status) {
			if (status == OK || status == ACCEPTED_STATUS) {
				return ACCEPTED;
			}
			return (status < SERVER_ERROR) ? REJECTED : UNANSWERED;
		}

		/**
		 * Returns whether the order can't be accepted later.
		 * @return whether the outcome is final
		 */
		public boolean certain() {
			return this.certain;
		}

	}

}
