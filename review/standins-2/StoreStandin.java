import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: items, watches, transactions and leases. A copy can be taken and
 * restored, which begins a new era.
 */
final class StoreStandin {

	private record Item(String key, byte[] value, long rev, long created, long lease) {
	}

	private record Event(String key, Item item, long rev) {
	}

	/** A copy of everything that the store keeps. */
	record Copy(TreeMap<String, Item> items, Map<Long, Long> leaseEndNanos, Map<Long, Long> leaseTtls, long revision) {
	}

	private static final long ANSWER_MS = 2;

	private final HttpStandin server;

	private final List<Event> history = new ArrayList<>();

	private TreeMap<String, Item> items = new TreeMap<>();

	private Map<Long, Long> leaseEndNanos = new HashMap<>();

	private Map<Long, Long> leaseTtls = new HashMap<>();

	private long revision = 100;

	private long historyBegin = 100;

	private long nextLease = 1_000;

	private long era = 1;

	StoreStandin(String host) throws IOException {
		this.server = new HttpStandin(host, 0, this::handle);
		HttpStandin.daemon(this::expireLeases);
	}

	String address() {
		return this.server.address();
	}

	void down() throws IOException {
		this.server.down();
	}

	void up() throws IOException {
		this.server.up();
	}

	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.items), new HashMap<>(this.leaseEndNanos), new HashMap<>(this.leaseTtls),
				this.revision);
	}

	synchronized void restore(Copy copy) {
		this.items = new TreeMap<>(copy.items());
		this.leaseEndNanos = new HashMap<>(copy.leaseEndNanos());
		this.leaseTtls = new HashMap<>(copy.leaseTtls());
		long now = System.nanoTime();
		this.leaseEndNanos.replaceAll((lease, end) -> now + this.leaseTtls.get(lease) * 1_000_000);
		this.revision = copy.revision();
		this.historyBegin = copy.revision();
		this.history.clear();
		this.era++;
		notifyAll();
	}

	/** Writes as the operator or an engine does; the return is the acknowledgement. */
	synchronized void put(String key, Object value) {
		put(key, Json.write(value).getBytes(StandardCharsets.UTF_8), 0);
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.history.add(new Event(key, null, this.revision));
			notifyAll();
		}
	}

	synchronized List<String> keys(String prefix) {
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	private void put(String key, byte[] value, long lease) {
		this.revision++;
		Item before = this.items.get(key);
		Item item = new Item(key, value, this.revision, (before != null) ? before.created() : this.revision, lease);
		this.items.put(key, item);
		this.history.add(new Event(key, item, this.revision));
		notifyAll();
	}

	private void expireLeases() {
		while (true) {
			synchronized (this) {
				long now = System.nanoTime();
				List<Long> ended = this.leaseEndNanos.entrySet()
					.stream()
					.filter((entry) -> entry.getValue() - now < 0)
					.map(Map.Entry::getKey)
					.toList();
				ended.forEach(this::endLease);
			}
			pause(50);
		}
	}

	private void endLease(long lease) {
		this.leaseEndNanos.remove(lease);
		List.copyOf(this.items.values())
			.stream()
			.filter((item) -> item.lease() == lease)
			.forEach((item) -> remove(item.key()));
	}

	static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Map<String, Object> json(Item item) {
		return Json.map("key", item.key(), "value", Base64.getEncoder().encodeToString(item.value()), "rev", item.rev(),
				"created", item.created(), "lease", item.lease());
	}

	private void handle(HttpStandin.Request request, HttpStandin.Answer answer) throws IOException {
		pause(ANSWER_MS);
		Reply reply = reply(request);
		answer.sendJson(reply.status(), Map.of("Store-Era", Long.toString(reply.era())), reply.body());
	}

	private record Reply(int status, long era, Object body) {
	}

	private synchronized Reply reply(HttpStandin.Request request) {
		String path = request.path();
		if (path.equals("/kv-watch")) {
			return watch(request);
		}
		if (path.equals("/kv-range")) {
			return range(request);
		}
		if (path.equals("/kv-key")) {
			Item item = this.items.get(request.query().get("key"));
			if (item == null) {
				return new Reply(404, this.era, Json.map());
			}
			Map<String, Object> body = json(item);
			body.put("as_of", this.revision);
			return new Reply(200, this.era, body);
		}
		if (path.equals("/kv-txn")) {
			return transaction(Json.object(request.text()));
		}
		if (path.equals("/kv-lease")) {
			long ttl = Math.max(1_000, Json.number(Json.object(request.text()), "ttl_ms", 0));
			long lease = this.nextLease++;
			this.leaseTtls.put(lease, ttl);
			this.leaseEndNanos.put(lease, System.nanoTime() + ttl * 1_000_000);
			return new Reply(200, this.era, Json.map("lease", lease, "ttl_ms", ttl));
		}
		long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
		if (!this.leaseEndNanos.containsKey(lease)) {
			return new Reply(404, this.era, Json.map());
		}
		if (request.method().equals("DELETE")) {
			endLease(lease);
			return new Reply(200, this.era, Json.map());
		}
		long ttl = this.leaseTtls.get(lease);
		this.leaseEndNanos.put(lease, System.nanoTime() + ttl * 1_000_000);
		return new Reply(200, this.era, Json.map("ttl_ms", ttl));
	}

	private Reply range(HttpStandin.Request request) {
		String prefix = request.query().get("prefix");
		String after = request.query().getOrDefault("after", "");
		List<Object> found = new ArrayList<>();
		this.items.values()
			.stream()
			.filter((item) -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
			.forEach((item) -> found.add(json(item)));
		return new Reply(200, this.era, Json.map("items", found, "has_more", false, "as_of", this.revision));
	}

	private Reply watch(HttpStandin.Request request) {
		String prefix = request.query().get("prefix");
		long after = Long.parseLong(request.query().get("after"));
		long endNanos = System.nanoTime() + Long.parseLong(request.query().get("wait_ms")) * 1_000_000;
		long begun = this.era;
		while (true) {
			if (this.era != begun || after < this.historyBegin || after > this.revision) {
				return new Reply(410, this.era, Json.map());
			}
			List<Object> events = new ArrayList<>();
			this.history.stream()
				.filter((event) -> event.rev() > after && event.key().startsWith(prefix))
				.forEach((event) -> events.add((event.item() != null) ? json(event.item())
						: Json.map("key", event.key(), "rev", event.rev(), "removed", true)));
			long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMs <= 0) {
				return new Reply(200, this.era, Json.map("events", events, "as_of", this.revision));
			}
			try {
				wait(leftMs);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private Reply transaction(Map<String, Object> body) {
		List<Object> current = new ArrayList<>();
		boolean holds = true;
		for (Map<String, Object> row : Json.objects(body, "expected")) {
			Item item = this.items.get((String) row.get("key"));
			holds &= Json.number(row, "rev", 0) == ((item != null) ? item.rev() : 0);
			if (item != null) {
				current.add(json(item));
			}
		}
		if (!holds) {
			return new Reply(412, this.era, Json.map("items", current));
		}
		List<Map<String, Object>> puts = Json.objects(body, "puts");
		for (Map<String, Object> row : puts) {
			long lease = Json.number(row, "lease", 0);
			if (lease != 0 && !this.leaseEndNanos.containsKey(lease)) {
				return new Reply(404, this.era, Json.map());
			}
		}
		for (Map<String, Object> row : puts) {
			put((String) row.get("key"), Base64.getDecoder().decode((String) row.get("value")),
					Json.number(row, "lease", 0));
		}
		Object removed = body.get("remove");
		if (removed instanceof List<?> keys) {
			keys.forEach((key) -> remove((String) key));
		}
		return new Reply(200, this.era, Json.map("rev", this.revision));
	}

}
