package org.baobabknot.soak;

import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.emulator.CallerExchange.End;
import org.baobabknot.emulator.CallerMessage;
import org.baobabknot.emulator.EngineWork;

/**
 * A request of a caller and how it ended.
 *
 * @param id id of the request, which a caller may keep to itself
 * @param kind kind of the request
 * @param gateway number of the gateway
 * @param work what the target is to send
 * @param timeoutMs time that the caller and the route give it, in ms
 * @param readsSlowly whether the caller reads slowly
 * @param message the request as it was sent
 * @param exchange what the caller has seen
 */
record SoakRequest(String id, Kind kind, int gateway, EngineWork work, long timeoutMs, boolean readsSlowly,
		CallerMessage message, CallerExchange exchange) {

	boolean hasId() {
		return !this.message.id().isEmpty();
	}

	int status() {
		return this.exchange.status();
	}

	boolean complete() {
		return this.exchange.complete();
	}

	boolean isSuccess() {
		return status() >= 200 && status() < 300;
	}

	/**
	 * Returns whether the caller has got no response though it waited for one.
	 * @return false also for a caller that gave up
	 */
	boolean unanswered() {
		return status() == 0 && this.exchange.end() != End.GAVE_UP;
	}

	/**
	 * Returns whether the response is a success that belongs to this request and has no
	 * bytes of an incomplete event. The buffers of a connection that is reset, or that a
	 * slow caller has filled, may end anywhere.
	 * @return whether the response is right
	 */
	boolean isRight() {
		String body = this.exchange.body();
		String whole = (this.kind.stream) ? this.work.events(this.id, this.work.events())
				: this.work.plainBody(this.id);
		if (complete()) {
			return body.equals(whole);
		}
		if (!this.kind.stream || this.message.http10() || this.readsSlowly) {
			return whole.startsWith(body);
		}
		return isWholeEvents(body);
	}

	private boolean isWholeEvents(String body) {
		for (int count = 0; count <= this.work.events(); count++) {
			if (body.equals(this.work.events(this.id, count))) {
				return true;
			}
		}
		return false;
	}

	String describe() {
		return this.kind + " " + this.id + " (" + this.message.style() + ((this.readsSlowly) ? " slow-reader" : "")
				+ ", gateway " + this.gateway + ")";
	}

	/** Kind of a request. */
	enum Kind {

		/** Must not run more than once. */
		ORDER("/orders/x", false, true),

		/** May run more than once. */
		READ("/reads/x", false, false),

		/** A stream that may be resumed. */
		TEXT("/texts/x", true, false),

		/** A stream with a part under which each engine crashes. */
		DEADLY_TEXT("/texts/x", true, false);

		private final String path;

		private final boolean stream;

		private final boolean atMostOnce;

		Kind(String path, boolean stream, boolean atMostOnce) {
			this.path = path;
			this.stream = stream;
			this.atMostOnce = atMostOnce;
		}

		String path() {
			return this.path;
		}

		boolean isStream() {
			return this.stream;
		}

		boolean runsAtMostOnce() {
			return this.atMostOnce;
		}

	}

}
