package org.baobabknot.standin.engine;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Records the periods in which the engine cannot serve requests because it is loading
 * weights. Not thread-safe: used on the event loop of the stand-in only.
 */
final class LoadSpans {

	private static final long NOT_ENDED = 0;

	private final List<Span> spans = new ArrayList<>();

	void begin(String version, long nowMillis) {
		this.spans.add(new Span(version, nowMillis));
	}

	void end(long nowMillis) {
		if (!this.spans.isEmpty()) {
			this.spans.get(this.spans.size() - 1).endMillis = nowMillis;
		}
	}

	void write(ObjectNode record) {
		ArrayNode list = record.putArray("load_spans");
		for (Span span : this.spans) {
			list.addObject().put("version", span.version).put("from_ms", span.startMillis).put("to_ms", span.endMillis);
		}
	}

	private static final class Span {

		private final String version;

		private final long startMillis;

		private long endMillis = NOT_ENDED;

		Span(String version, long startMillis) {
			this.version = version;
			this.startMillis = startMillis;
		}

	}

}
