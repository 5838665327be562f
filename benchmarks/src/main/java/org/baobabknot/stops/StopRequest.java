package org.baobabknot.stops;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;

/**
 * A request of a caller and what the caller got. All times are monotonic, in ns.
 */
final class StopRequest {

	/** Time that a caller needs to notice the end of a response. */
	private static final long DEADLINE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	final String id;

	final Kind kind;

	final Framing framing;

	final int gateway;

	final boolean newConnection;

	long beganNanos;

	/** Time at which the last byte was sent, 0 if it was not. */
	long sentNanos;

	long endedNanos;

	StopResponse response = StopResponse.NONE;

	StopRequest(String id, Kind kind, Framing framing, int gateway, boolean newConnection) {
		this.id = id;
		this.kind = kind;
		this.framing = framing;
		this.gateway = gateway;
		this.newConnection = newConnection;
	}

	boolean whole() {
		return this.response.complete() && this.response.status() == 200
				&& (this.kind.events == 0 || this.response.events() == this.kind.events);
	}

	boolean refused() {
		return this.response.complete() && List.of(408, 421, 429, 503).contains(this.response.status());
	}

	/**
	 * Returns whether the caller got something that is not the end of the request.
	 * @return true for an incomplete response, or none
	 */
	boolean unanswered() {
		return !this.response.complete() || (this.response.status() == 200 && !whole());
	}

	boolean deadlineReached() {
		return this.endedNanos - this.beganNanos + DEADLINE_MARGIN_NANOS >= TimeUnit.MILLISECONDS
			.toNanos(this.kind.deadlineMs);
	}

	/**
	 * Returns the head of the request.
	 * @param bodyBytes length of the body
	 * @return the head as text, with the empty line at its end
	 */
	String head(int bodyBytes) {
		String model = (this.kind.model.isEmpty()) ? ""
				: EmulatedCaller.modelHeaders(this.kind.model, 100, this.kind.events);
		String length = (this.framing == Framing.CHUNKS) ? "Transfer-Encoding: chunked\r\n"
				: "Content-Length: " + bodyBytes + "\r\n";
		String expect = (this.framing == Framing.CONTINUE) ? "Expect: 100-continue\r\n" : "";
		return "POST /" + this.kind.route + "/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + this.id
				+ "\r\nKey: key-1\r\n" + EmulatedCaller.deadlineHeader(this.kind.deadlineMs) + model + expect + length
				+ "\r\n";
	}

	/**
	 * Kind of a request. Streams have the events of the two fleets.
	 */
	enum Kind {

		/** A stream of 21 events. */
		LONG_STREAM("texts", "long", 21, 6_000),

		/** A stream of 12 events. */
		SHORT_STREAM("notes", "short", 12, 6_000),

		/** Runs at most once. */
		ORDER("orders", "", 0, 2_500),

		/** May run more than once. */
		READ("reads", "", 0, 2_500);

		final String route;

		final String model;

		final int events;

		final long deadlineMs;

		Kind(String route, String model, int events, long deadlineMs) {
			this.route = route;
			this.model = model;
			this.events = events;
			this.deadlineMs = deadlineMs;
		}

		static Kind draw(SplittableRandom random) {
			return values()[random.nextInt(values().length)];
		}

	}

	/**
	 * How a request arrives.
	 */
	enum Framing {

		/** At once, with a length. */
		LENGTH,

		/** At once, in chunks. */
		CHUNKS,

		/** Over a second. */
		SLOW,

		/** The body after an interim response. */
		CONTINUE,

		/** Together with others. */
		PIPELINED;

		static Framing draw(SplittableRandom random) {
			return values()[random.nextInt(values().length)];
		}

	}

}
