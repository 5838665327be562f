import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model engine with a staging area. An order loads the staged pieces as they are at the
 * moment at which it is accepted, once the running requests have ended.
 */
final class ModelEngine {

	private static final int LAYERS = 16;

	private static final int EVENTS = 4;

	private static final long EVENT_MS = 20;

	private final StoreStandin store;

	private final Record record;

	private final Weights weights;

	private final String id;

	private final String service;

	private final String model;

	private final String zone;

	private final long stageMs;

	private final long loadMs;

	private final HttpStandin server;

	private final long bornMs = System.currentTimeMillis();

	private final Map<Integer, byte[]> staged = new HashMap<>();

	private final AtomicInteger wrongTokens = new AtomicInteger();

	private final AtomicInteger tokens = new AtomicInteger();

	private long version = 1;

	/** Numbers of the loaded pieces that are missing or not of the loaded version. */
	private TreeSet<Integer> wrongPieces = new TreeSet<>();

	private boolean busy;

	private int running;

	private long orders;

	private long seq;

	/**
	 * Creates an engine that holds version 1 and has it staged.
	 * @param stageMs time in which it answers a call of its staging area
	 * @param loadMs time in which it loads a version
	 */
	ModelEngine(StoreStandin store, Record record, Weights weights, String id, String host, String service,
			String model, String zone, long stageMs, long loadMs) throws IOException {
		this.store = store;
		this.record = record;
		this.weights = weights;
		this.id = id;
		this.service = service;
		this.model = model;
		this.zone = zone;
		this.stageMs = stageMs;
		this.loadMs = loadMs;
		for (int number = 0; number < weights.chunks(); number++) {
			this.staged.put(number, weights.piece(1, number));
		}
		this.server = new HttpStandin(host, Ports.ENGINE, this::handle);
		HttpStandin.daemon(() -> {
			while (true) {
				writeEntry();
				StoreStandin.pause(1_200);
			}
		});
	}

	String address() {
		return this.server.address();
	}

	synchronized long version() {
		return this.version;
	}

	int tokens() {
		return this.tokens.get();
	}

	int wrongTokens() {
		return this.wrongTokens.get();
	}

	private Map<String, Object> layers() {
		return Json.map("from", 0, "target", LAYERS, "version", this.version);
	}

	private List<Object> models() {
		return List.of(Json.map("name", this.model, "version", this.version, "adapters", List.of(), "layers", layers()));
	}

	private synchronized void writeEntry() {
		this.store.put("servers/" + this.id,
				Json.map("service", this.service, "address", address(), "zone", this.zone, "version", "v1", "slots", 16,
						"state", "ready", "cold_left_ms", 0, "stage", "both", "models", models(), "seq", ++this.seq,
						"born", this.bornMs));
	}

	private void handle(HttpStandin.Request request, HttpStandin.Answer answer)
			throws IOException, InterruptedException {
		String path = request.path();
		if (path.equals("/report")) {
			answer.sendJson(200, Map.of(), report());
		}
		else if (path.startsWith("/stage-put/")) {
			synchronized (this) {
				this.staged.put(Integer.valueOf(request.query().get("num")), request.body());
			}
			Thread.sleep(this.stageMs);
			answer.send(200, Map.of(), new byte[0]);
		}
		else if (path.startsWith("/stage-get/")) {
			byte[] bytes;
			synchronized (this) {
				bytes = this.staged.get(Integer.valueOf(request.query().get("num")));
			}
			Thread.sleep(this.stageMs);
			answer.send((bytes != null) ? 200 : 404, Map.of(), (bytes != null) ? bytes : new byte[0]);
		}
		else if (path.equals("/order")) {
			answer.sendJson(order(Json.object(request.text())), Map.of(), Json.map());
		}
		else if (path.equals("/health")) {
			answer.send(200, Map.of("Instance-Id", this.id), new byte[0]);
		}
		else {
			generate(request, answer);
		}
	}

	private synchronized Object report() {
		return Json.map("stage", "both", "models", models(), "busy", this.busy, "seq", this.orders, "queued", 0,
				"running", this.running, "kv_used", 0, "kv_total", 685_000, "handles", 0, "born", this.bornMs);
	}

	private synchronized int order(Map<String, Object> order) {
		long ordered = Json.number(order, "version", 0);
		if (ordered == this.version) {
			return 200;
		}
		if (this.busy || Json.number(order, "expected", this.orders) != this.orders) {
			return 409;
		}
		this.orders++;
		this.busy = true;
		TreeSet<Integer> wrong = new TreeSet<>();
		for (int number = 0; number < this.weights.chunks(); number++) {
			byte[] bytes = this.staged.get(number);
			if (bytes == null || !Weights.digest(bytes).equals(this.weights.digest(ordered, number))) {
				wrong.add(number);
			}
		}
		this.record.line("engine " + this.id + " accepts the order to load version " + ordered
				+ ((wrong.isEmpty()) ? ", all pieces are of it" : ", pieces of another version: " + wrong));
		HttpStandin.daemon(() -> load(ordered, wrong));
		return 202;
	}

	private void load(long ordered, TreeSet<Integer> wrong) {
		synchronized (this) {
			while (this.running > 0) {
				try {
					wait();
				}
				catch (InterruptedException ex) {
					throw new IllegalStateException(ex);
				}
			}
		}
		StoreStandin.pause(this.loadMs);
		synchronized (this) {
			this.version = ordered;
			this.wrongPieces = wrong;
			this.busy = false;
		}
		writeEntry();
		this.record.line("engine " + this.id + " runs version " + ordered);
	}

	private void generate(HttpStandin.Request request, HttpStandin.Answer answer)
			throws IOException, InterruptedException {
		String requestId = request.header("Request-Id");
		Map<String, Object> headers = new TreeMap<>(Map.of("Request-Id", requestId));
		String expected = request.header("Expect-Instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			headers.put("Instance-Id", this.id);
			answer.send(421, headers, new byte[0]);
			return;
		}
		long runsOn;
		TreeSet<Integer> wrong;
		synchronized (this) {
			if (this.busy) {
				headers.put("Not-Executed", "1");
				answer.send(503, headers, new byte[0]);
				return;
			}
			this.running++;
			runsOn = this.version;
			wrong = this.wrongPieces;
			headers.put("Server-Load", this.running + ",0,16");
		}
		try {
			headers.put("Response-Seal", "3e1b." + requestId);
			headers.put("Weight-Versions", runsOn);
			headers.put("Content-Type", "text/event-stream");
			answer.startChunks(200, headers);
			long first = Math.max(0, Long.parseLong("0" + request.header("Last-Event-Id"))) + 1;
			for (long event = first; event < first + EVENTS; event++) {
				Thread.sleep(EVENT_MS);
				this.tokens.incrementAndGet();
				if (!wrong.isEmpty() && this.wrongTokens.incrementAndGet() <= 20) {
					this.record.line("engine " + this.id + " makes a token for " + requestId + " on version " + runsOn
							+ " with pieces " + wrong + " of another version");
				}
				answer.chunk("id: " + event + "\ndata: tokens\n\n");
			}
			answer.endChunks();
		}
		finally {
			synchronized (this) {
				this.running--;
				notifyAll();
			}
		}
	}

}
