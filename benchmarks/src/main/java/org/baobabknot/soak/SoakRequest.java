package org.baobabknot.soak;

/**
 * A request of a caller and how it ended.
 *
 * @param id id of the request
 * @param kind kind of the request
 * @param gateway number of the gateway
 * @param sentNanos monotonic time at which it was sent
 * @param status status of the response, 0 if the connection ended without one
 * @param complete whether the response ended as its framing says
 * @param body body of the response
 */
record SoakRequest(String id, Kind kind, int gateway, long sentNanos, int status, boolean complete, String body) {

	/** Events of each stream. */
	static final int EVENTS = 5;

	/**
	 * Returns whether the response is a success that belongs to this request and has no
	 * bytes of an incomplete event.
	 * @return whether the response is right
	 */
	boolean isRight() {
		if (!this.kind.stream) {
			return !this.complete || this.body.equals("answer to " + this.id);
		}
		return (this.complete) ? this.body.equals(events(EVENTS)) : isWholeEvents();
	}

	private boolean isWholeEvents() {
		for (int count = 0; count <= EVENTS; count++) {
			if (this.body.equals(events(count))) {
				return true;
			}
		}
		return false;
	}

	private static String events(int count) {
		StringBuilder text = new StringBuilder();
		for (int number = 0; number < count; number++) {
			text.append("id: ").append(number).append("\ndata: e").append(number).append("\n\n");
		}
		return text.toString();
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
