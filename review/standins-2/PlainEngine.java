import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine of a plain service: runs each request for some time and answers it. */
final class PlainEngine {

	/** Is told of each request that the engine begins to work on. */
	interface Listener {

		void runs(String id, HttpStandin.Request request);

	}

	private static final long WORK_MS = 40;

	private static final long EVENT_MS = 130;

	private final StoreStandin store;

	private final Record record;

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private final Listener listener;

	private final HttpStandin server;

	private final AtomicInteger running = new AtomicInteger();

	private final long bornMs = System.currentTimeMillis();

	private final long coldMs;

	private volatile String state = "ready";

	private volatile boolean ended;

	private volatile String statedLimit = "";

	private long seq;

	PlainEngine(StoreStandin store, Record record, String id, String host, String service, String zone, int slots,
			long coldMs, Listener listener) throws IOException {
		this.store = store;
		this.record = record;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.coldMs = coldMs;
		this.listener = listener;
		this.server = new HttpStandin(host, 0, this::handle);
		HttpStandin.daemon(this::beat);
	}

	String address() {
		return this.server.address();
	}

	/** States in all answers how many requests a second the engine takes. */
	void stateLimit(int perSecond) {
		this.statedLimit = Integer.toString(perSecond);
	}

	private void beat() {
		while (!this.ended) {
			writeEntry();
			StoreStandin.pause(1_200);
		}
	}

	private long coldLeftMs() {
		return Math.max(0, this.bornMs + this.coldMs - System.currentTimeMillis());
	}

	private synchronized void writeEntry() {
		if (!this.ended) {
			this.store.put("servers/" + this.id,
					Json.map("service", this.service, "address", address(), "zone", this.zone, "version", "v1", "slots",
							this.slots, "state", this.state, "cold_left_ms", coldLeftMs(), "seq", ++this.seq, "born",
							this.bornMs));
		}
	}

	/** Reports that the engine leaves. Returns when the store has accepted it. */
	void drain() {
		this.state = "draining";
		writeEntry();
		this.record.line("engine " + this.id + " reports draining, and the store accepts it");
	}

	/** Ends at once; open requests are cut off. */
	synchronized void end() throws IOException {
		this.ended = true;
		this.server.down();
		this.store.remove("servers/" + this.id);
		this.record.line("engine " + this.id + " ends");
	}

	private Map<String, Object> headers(HttpStandin.Request request) {
		Map<String, Object> headers = new TreeMap<>();
		if (!request.header("Request-Id").isEmpty()) {
			headers.put("Request-Id", request.header("Request-Id"));
		}
		headers.put("Server-Load", this.running.get() + ",0," + this.slots);
		if (!this.statedLimit.isEmpty()) {
			headers.put("Server-Limit", this.statedLimit);
		}
		return headers;
	}

	private void handle(HttpStandin.Request request, HttpStandin.Answer answer) throws IOException {
		Map<String, Object> headers = headers(request);
		if (request.path().equals("/health")) {
			headers.put("Instance-Id", this.id);
			answer.send((this.state.equals("ready")) ? 200 : 503, headers, new byte[0]);
			return;
		}
		String expected = request.header("Expect-Instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			headers.put("Instance-Id", this.id);
			answer.send(421, headers, new byte[0]);
			return;
		}
		this.running.incrementAndGet();
		try {
			this.listener.runs(this.id, request);
			headers.put("Response-Seal", "3e1b." + request.header("Request-Id"));
			int events = Integer.parseInt(request.query().getOrDefault("events", "0"));
			if (events == 0) {
				StoreStandin.pause(WORK_MS);
				answer.send(200, headers, ("done " + request.header("Request-Id")).getBytes());
				return;
			}
			headers.put("Content-Type", "text/event-stream");
			answer.startChunks(200, headers);
			for (int event = 1; event <= events; event++) {
				StoreStandin.pause(EVENT_MS);
				answer.chunk("id: " + event + "\ndata: tokens\n\n");
			}
			answer.endChunks();
		}
		finally {
			this.running.decrementAndGet();
		}
	}

}
