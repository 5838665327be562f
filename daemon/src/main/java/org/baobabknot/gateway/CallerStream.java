package org.baobabknot.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.netty.buffer.ByteBuf;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.provider.PlatformHeaders;
import org.jspecify.annotations.Nullable;

/**
 * The streamed response of one request as its caller receives it: complete events of one
 * or several targets, one after the other, under the head of the first.
 */
final class CallerStream {

	/** Largest event of a stream; typical events have less than 1 kB. */
	private static final int MAX_EVENT_BYTES = 128 << 10;

	private final GatewayConnection connection;

	/** Events of each attempt that is open, after those that the caller has. */
	private final Map<TargetAttempt, StreamEventParser> parsers = new HashMap<>();

	private long lastEventId;

	private int eventCount;

	private @Nullable TargetAttempt starter;

	/**
	 * Creates a stream that has not started.
	 * @param connection connection of the caller
	 * @param lastEventId number of the last event that the caller has, negative for none
	 */
	CallerStream(GatewayConnection connection, long lastEventId) {
		this.connection = connection;
		this.lastEventId = lastEventId;
	}

	boolean started() {
		return this.starter != null;
	}

	boolean startedBy(TargetAttempt attempt) {
		return this.starter == attempt;
	}

	/**
	 * Prepares for the events of an attempt, which go on after {@link #resumeAfter()}.
	 * @param attempt the attempt
	 */
	void open(TargetAttempt attempt) {
		this.parsers.put(attempt, new StreamEventParser(this.lastEventId));
	}

	/**
	 * Drops the begun event of an attempt that does not go on.
	 * @param attempt the attempt
	 */
	void drop(TargetAttempt attempt) {
		StreamEventParser parser = this.parsers.remove(attempt);
		if (parser != null) {
			parser.takePending().release();
		}
	}

	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns the event after which another target goes on.
	 * @return its number, negative to begin the stream
	 */
	long resumeAfter() {
		return (this.eventCount > 0) ? this.lastEventId : -1;
	}

	/**
	 * Adds bytes of a target.
	 * @param attempt the attempt
	 * @param data the bytes
	 * @return the events that they complete, empty if they complete none
	 */
	ByteBuf add(TargetAttempt attempt, ByteBuf data) {
		StreamEventParser parser = Objects.requireNonNull(this.parsers.get(attempt), "not opened");
		int eventsBefore = parser.eventCount();
		ByteBuf completeEvents = parser.add(data);
		this.eventCount += parser.eventCount() - eventsBefore;
		this.lastEventId = parser.lastEventId();
		if (!completeEvents.isReadable() && parser.pendingBytes() > MAX_EVENT_BYTES) {
			attempt.abortOversized("an event of more than " + MAX_EVENT_BYTES + " bytes");
		}
		return completeEvents;
	}

	/**
	 * Returns whether an attempt has begun an event that is not complete.
	 * @param attempt the attempt
	 * @return whether it has
	 */
	boolean endsInsideEvent(TargetAttempt attempt) {
		StreamEventParser parser = this.parsers.get(attempt);
		return parser != null && parser.pendingBytes() > 0;
	}

	/**
	 * Sends the head of the response.
	 * @param attempt attempt at the first target
	 * @param responseHead its status and headers
	 */
	void start(TargetAttempt attempt, ResponseHead responseHead) {
		this.starter = attempt;
		this.connection.startStream(PlatformHeaders.decodeResponse(responseHead).status(),
				PlatformHeaders.callerHeaders(responseHead));
	}

}
