package org.baobabknot.gateway;

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

	private final StreamEventParser parser;

	private @Nullable TargetAttempt starter;

	/**
	 * Creates a stream that has not started.
	 * @param connection connection of the caller
	 * @param lastEventId number of the last event that the caller has, negative for none
	 */
	CallerStream(GatewayConnection connection, long lastEventId) {
		this.connection = connection;
		this.parser = new StreamEventParser(lastEventId);
	}

	boolean started() {
		return this.starter != null;
	}

	boolean startedBy(TargetAttempt attempt) {
		return this.starter == attempt;
	}

	int eventCount() {
		return this.parser.eventCount();
	}

	/**
	 * Returns the event after which another target goes on.
	 * @return its number, negative to begin the stream
	 */
	long resumeAfter() {
		return (this.parser.eventCount() > 0) ? this.parser.lastEventId() : -1;
	}

	/**
	 * Adds bytes of a target.
	 * @param attempt the attempt
	 * @param data the bytes
	 * @return the events that they complete, empty if they complete none
	 */
	ByteBuf add(TargetAttempt attempt, ByteBuf data) {
		ByteBuf completeEvents = this.parser.add(data);
		if (!completeEvents.isReadable() && this.parser.pendingBytes() > MAX_EVENT_BYTES) {
			attempt.abortOversized("an event of more than " + MAX_EVENT_BYTES + " bytes");
		}
		return completeEvents;
	}

	boolean endsInsideEvent() {
		return this.parser.pendingBytes() > 0;
	}

	/**
	 * Drops the begun event of a target that does not go on.
	 */
	void dropPending() {
		this.parser.takePending().release();
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
