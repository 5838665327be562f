package org.baobabknot.protocol;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of events on connections, shared by all connections of a process.
 *
 * @param garbage connections closed because they delivered invalid frames or no Hello
 * within its timeout
 * @param violations connections closed because the peer violated the protocol
 * @param refusedHellos connections closed because the peer's Hello was refused
 * @param pongTimeouts connections closed because no pong arrived in time
 * @param lateFrames frames dropped because their stream was already closed
 * @param framesReceived frames received
 * @param framesSent frames sent
 */
public record ProtocolCounters(LongAdder garbage, LongAdder violations, LongAdder refusedHellos, LongAdder pongTimeouts,
		LongAdder lateFrames, LongAdder framesReceived, LongAdder framesSent) {

	/**
	 * Creates counters at zero.
	 */
	public ProtocolCounters() {
		this(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(),
				new LongAdder());
	}

}
