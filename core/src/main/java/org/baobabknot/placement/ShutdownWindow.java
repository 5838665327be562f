package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

/**
 * Which requests a stopping process still admits: those that end before it does, even if
 * they use all of their time. A load balancer sends requests for some seconds after the
 * stop signal, and callers with open connections for longer. Those that could be cut off
 * are refused before they run, so that their callers can go to another process.
 *
 * @param endNanos monotonic time at which the process ends, with whatever is open then
 */
public record ShutdownWindow(long endNanos) {

	/** Time for the end of a response to reach the caller. */
	private static final long DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * Returns whether a request ends before the process.
	 * @param deadlineNanos monotonic time at which it ends at the latest
	 * @return whether it may be admitted
	 */
	public boolean admits(long deadlineNanos) {
		return deadlineNanos - this.endNanos <= -DELIVERY_NANOS;
	}

}
