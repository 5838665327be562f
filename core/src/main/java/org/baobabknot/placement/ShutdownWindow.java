package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

/**
 * What a stopping process does with requests and connections. A load balancer sends new
 * connections for some seconds after the stop signal, and callers use open connections
 * for longer. A request that could be cut off by the end of the process is refused before
 * it runs, so that its caller can go to another process. All times are monotonic, in ns.
 *
 * @param drainNanos time at which the balancer has noticed: idle connections are closed,
 * and requests on connections that were opened later are refused
 * @param endNanos time at which the process ends, with whatever is open then
 */
public record ShutdownWindow(long drainNanos, long endNanos) {

	/** Time for the end of a response to reach the caller. */
	private static final long DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Time for the first request of a connection that was opened while draining. */
	private static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * Returns whether the balancer has noticed the stop.
	 * @param nowNanos current time
	 * @return whether connections are closed when they are idle
	 */
	public boolean drains(long nowNanos) {
		return nowNanos - this.drainNanos >= 0;
	}

	/**
	 * Decides about a connection that has been opened.
	 * @param openedNanos time at which it was accepted
	 * @return whether requests on it are served
	 */
	public boolean servesConnection(long openedNanos) {
		return !drains(openedNanos);
	}

	/**
	 * Decides about a request that has arrived as a whole.
	 * @param openedNanos time at which its connection was accepted
	 * @param deadlineNanos time at which the request ends at the latest
	 * @return whether it may run
	 */
	public Arrival arrival(long openedNanos, long deadlineNanos) {
		if (!servesConnection(openedNanos)) {
			return Arrival.TOO_LATE;
		}
		return (deadlineNanos - this.endNanos <= -DELIVERY_NANOS) ? Arrival.ADMITTED : Arrival.MAY_OUTLAST;
	}

	/**
	 * Decides about a connection without a request.
	 * @param openedNanos time at which it was accepted
	 * @param nowNanos current time, at which all received bytes have been read
	 * @return whether it is closed
	 */
	public boolean closesIdle(long openedNanos, long nowNanos) {
		return drains(nowNanos) && (servesConnection(openedNanos) || nowNanos - openedNanos >= FIRST_REQUEST_NANOS);
	}

	/**
	 * Decides how the process goes on.
	 * @param nowNanos current time
	 * @param open what is open
	 * @return the next step
	 */
	public Step nextStep(long nowNanos, Open open) {
		if (nowNanos - this.endNanos >= 0) {
			return Step.END_OPEN_REQUESTS;
		}
		if (!drains(nowNanos) || open.admitted()) {
			return Step.GO_ON;
		}
		if (open.accepting()) {
			return Step.STOP_ACCEPTING;
		}
		return (open.connections()) ? Step.GO_ON : Step.END;
	}

	/**
	 * What is open in a process.
	 *
	 * @param admitted whether a request is open or being received on a connection whose
	 * requests are served, or its response is not delivered
	 * @param accepting whether connections are accepted
	 * @param connections whether any connection is open
	 */
	public record Open(boolean admitted, boolean accepting, boolean connections) {
	}

	/**
	 * Decision about a request.
	 */
	public enum Arrival {

		/** It ends before the process, even if it uses all of its time. */
		ADMITTED(""),

		/** The process could cut it off. */
		MAY_OUTLAST("this process may end before the request"),

		/** Its connection was opened after the balancer had time to notice. */
		TOO_LATE("this process is being stopped");

		private final String refusal;

		Arrival(String refusal) {
			this.refusal = refusal;
		}

		/**
		 * Returns whether the request may run. One that may not has not run and never
		 * will.
		 * @return whether it is admitted
		 */
		public boolean admitted() {
			return this == ADMITTED;
		}

		/**
		 * Returns the detail of the refusal, for the response.
		 * @return reason of the refusal, empty if it is admitted
		 */
		public String refusal() {
			return this.refusal;
		}

	}

	/**
	 * Next step of a stopping process.
	 */
	public enum Step {

		/** Serve what is open. */
		GO_ON,

		/**
		 * Close the port, after which the connections that were accepted before are still
		 * answered.
		 */
		STOP_ACCEPTING,

		/** End the process: nothing is open. */
		END,

		/** Tell the callers of all open requests what is true of them, and end. */
		END_OPEN_REQUESTS

	}

}
