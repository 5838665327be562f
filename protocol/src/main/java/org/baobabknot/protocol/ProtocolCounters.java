package org.baobabknot.protocol;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of events on connections, shared by all connections of a process.
 *
 * @param garbage connections closed because their bytes were no valid frames or held no
 * Hello in time
 * @param violations connections closed because the peer broke the rules of the protocol
 * @param refusedHellos connections closed because the peer's Hello was refused
 * @param pongTimeouts connections closed because a pong was overdue
 * @param lateFrames frames dropped because their stream was closed
 * @param framesReceived frames received
 * @param framesSent frames sent
 */
public record ProtocolCounters(LongAdder garbage, LongAdder violations, LongAdder refusedHellos, LongAdder pongTimeouts,
		LongAdder lateFrames, LongAdder framesReceived, LongAdder framesSent) {

	/**
	 * New counters at zero.
	 */
	public ProtocolCounters() {
		this(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(),
				new LongAdder());
	}

}
