package org.baobabknot.soak;

import java.util.SplittableRandom;

import org.baobabknot.emulator.CallerMessage;
import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EngineWork;
import org.baobabknot.soak.SoakRequest.Kind;

/**
 * Draws the requests of one caller: kind, duration, framing and timing.
 */
final class SoakLoad {

	/** Part of a prompt under which engines crash. */
	static final String DEADLY_PART = "dead1";

	/** Longest time that the routes give a request, in ms. */
	static final int ROUTE_TIMEOUT_MS = 15_000;

	/** Header that names the gateway, which targets get unchanged. */
	private static final String GATEWAY_HEADER = "X-Gateway";

	private static final String SHARED_PART = "50d1";

	private static final String MODEL = "model";

	private static final double DEADLY_RATIO = 0.1;

	private static final EngineWork SHORT_STREAM = new EngineWork(5, 20, 0);

	private static final EngineWork SHORT_RESPONSE = new EngineWork(1, 10, 0);

	private final SplittableRandom random;

	private final int maxPauseMs;

	/**
	 * Creates the load of a caller.
	 * @param random draws the requests
	 * @param maxPauseMs longest pause between the events of a stream, in ms
	 */
	SoakLoad(SplittableRandom random, int maxPauseMs) {
		this.random = random;
		this.maxPauseMs = maxPauseMs;
	}

	Kind drawKind(boolean withDeadlyPart) {
		boolean deadly = withDeadlyPart && draws(DEADLY_RATIO);
		return switch (this.random.nextInt(4)) {
			case 0 -> Kind.ORDER;
			case 1 -> Kind.READ;
			default -> (deadly) ? Kind.DEADLY_TEXT : Kind.TEXT;
		};
	}

	/**
	 * Draws what a target is to send.
	 * @param kind kind of the request
	 * @param readsSlowly whether the caller reads slowly, and so gets more bytes
	 * @param calm whether all requests are short
	 * @return streams of 0.1 to 12 s, mostly some seconds; other responses are mostly
	 * short
	 */
	EngineWork drawWork(Kind kind, boolean readsSlowly, boolean calm) {
		if (calm) {
			return (kind.isStream()) ? SHORT_STREAM : SHORT_RESPONSE;
		}
		double share = this.random.nextDouble();
		if (kind.isStream()) {
			int durationMs = (share < 0.3) ? 100 : (share < 0.9) ? between(500, 8_000) : between(8_000, 12_000);
			int events = Math.max(5, durationMs / between(Math.min(50, this.maxPauseMs - 1), this.maxPauseMs));
			return new EngineWork(events, durationMs / events, (readsSlowly) ? 3_000 : 0);
		}
		int durationMs = (share < 0.75) ? 10 : (share < 0.92) ? between(100, 2_000) : between(5_000, 12_000);
		int bytes = (readsSlowly) ? between(0, 300_000) : (draws(0.2)) ? between(0, 50_000) : 0;
		return new EngineWork(1, durationMs, bytes);
	}

	/**
	 * Draws how long a caller waits.
	 * @param work what the target is to send
	 * @return time in ms, in some cases too short
	 */
	int drawTimeoutMs(EngineWork work) {
		int durationMs = (int) work.durationMs();
		return (draws(0.06)) ? 200 + durationMs / 2 : Math.min(ROUTE_TIMEOUT_MS, durationMs + between(2_000, 4_000));
	}

	/**
	 * Draws how a request is sent.
	 * @param id id of the request
	 * @param kind kind of the request
	 * @param gateway number of the gateway
	 * @param work what the target is to send
	 * @param timeoutMs how long the caller waits
	 * @param http10 whether the caller speaks HTTP/1.0
	 * @return the request
	 */
	CallerMessage drawMessage(String id, Kind kind, int gateway, EngineWork work, int timeoutMs, boolean http10) {
		String headers = EmulatedCaller.deadlineHeader(timeoutMs) + GATEWAY_HEADER + ": " + gateway + "\r\n"
				+ work.header();
		if (kind.isStream()) {
			headers += EmulatedCaller.modelHeaders(MODEL, 200, 30) + promptHeader(kind, id);
		}
		boolean withoutBody = kind == Kind.READ && draws(0.5);
		boolean writesSlowly = !withoutBody && draws(0.08);
		String body = (withoutBody) ? "" : "body of " + id + "y".repeat((writesSlowly) ? between(1_000, 8_000) : 0);
		boolean chunked = !withoutBody && !http10 && draws(0.3);
		boolean expectsContinue = !withoutBody && !http10 && draws(0.08);
		return new CallerMessage((withoutBody) ? "GET" : "POST", kind.path(), (draws(0.08)) ? "" : id, http10, headers,
				body, chunked, expectsContinue, (writesSlowly) ? between(2, 10) : 1,
				(writesSlowly) ? between(300, 1_000) : 0, (draws(0.06)) ? between(10, 3_000) : 0);
	}

	private static String promptHeader(Kind kind, String id) {
		String own = id.substring(id.length() - 6);
		return (kind != Kind.DEADLY_TEXT) ? EmulatedCaller.promptHeader(SHARED_PART, own)
				: EmulatedCaller.promptHeader(SHARED_PART, DEADLY_PART, own);
	}

	boolean draws(double share) {
		return this.random.nextDouble() < share;
	}

	private int between(int from, int to) {
		return from + this.random.nextInt(to - from);
	}

}
