package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store: items with revisions, watches, conditional writes and leases, in memory. */
final class Store implements AutoCloseable {

	private record Item(String key, byte[] value, long rev, long created, long lease) {

		String json() {
			return (this.value == null) ? "{\"key\":" + Json.quote(this.key) + ",\"rev\":" + this.rev + ",\"removed\":true}"
					: "{\"key\":" + Json.quote(this.key) + ",\"value\":\"" + Base64.getEncoder().encodeToString(this.value)
							+ "\",\"rev\":" + this.rev + ",\"created\":" + this.created + ",\"lease\":" + this.lease + "}";
		}

	}

	private final HttpServer server;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, Store::daemon);

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final Map<Long, Long> leaseTtl = new HashMap<>();

	private final Map<Long, ScheduledFuture<?>> leaseTimers = new HashMap<>();

	private long revision = 1;

	private long nextLease = 100;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
		this.server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/** Writes an item as the operator or an engine does; the return is the acknowledgement. */
	synchronized long put(String key, String value) {
		return putItem(key, value.getBytes(StandardCharsets.UTF_8), 0);
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.history.add(new Item(key, null, ++this.revision, 0, 0));
			notifyAll();
		}
	}

	synchronized List<String> keys(String prefix) {
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	private long putItem(String key, byte[] value, long lease) {
		Item old = this.items.get(key);
		long rev = ++this.revision;
		Item item = new Item(key, value, rev, (old != null) ? old.created() : rev, lease);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
		return rev;
	}

	private void handle(HttpExchange call) throws IOException {
		try {
			byte[] body = call.getRequestBody().readAllBytes();
			Map<String, String> query = new HashMap<>();
			String raw = call.getRequestURI().getRawQuery();
			for (String pair : ((raw != null) ? raw : "").split("&")) {
				int equals = pair.indexOf('=');
				if (equals > 0) {
					query.put(pair.substring(0, equals),
							URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
			String path = call.getRequestURI().getPath();
			String id = path.substring(path.lastIndexOf('/') + 1);
			switch (call.getRequestMethod() + " " + ((path.indexOf('/', 1) > 0) ? path.substring(0, path.indexOf('/', 1)) : path)) {
				case "GET /kv-key" -> key(call, query);
				case "GET /kv-range" -> range(call, query);
				case "GET /kv-watch" -> watch(call, query);
				case "POST /kv-txn" -> transaction(call, Json.object(body));
				case "POST /kv-lease" -> lease(call, Json.object(body));
				case "POST /kv-keep" -> keep(call, Long.parseLong(id));
				case "DELETE /kv-lease-end" -> end(call, Long.parseLong(id));
				default -> respond(call, 404, "{}");
			}
		}
		catch (RuntimeException | InterruptedException ex) {
			respond(call, 400, "{}");
		}
	}

	private static void respond(HttpExchange call, int status, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		call.getResponseHeaders().set("Content-Type", "application/json");
		call.sendResponseHeaders(status, bytes.length);
		call.getResponseBody().write(bytes);
		call.close();
	}

	private void key(HttpExchange call, Map<String, String> query) throws IOException {
		Item item;
		long as;
		synchronized (this) {
			item = this.items.get(query.get("key"));
			as = this.revision;
		}
		respond(call, (item != null) ? 200 : 404, (item != null)
				? item.json().replaceFirst("}$", ",\"as_of\":" + as + "}") : "{\"as_of\":" + as + "}");
	}

	private void range(HttpExchange call, Map<String, String> query) throws IOException {
		String prefix = query.getOrDefault("prefix", "");
		String after = query.getOrDefault("after", "");
		List<String> found = new ArrayList<>();
		long as;
		synchronized (this) {
			as = this.revision;
			this.items.values().stream()
				.filter((item) -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
				.forEach((item) -> found.add(item.json()));
		}
		respond(call, 200, "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"as_of\":" + as + "}");
	}

	private void watch(HttpExchange call, Map<String, String> query) throws IOException, InterruptedException {
		String prefix = query.getOrDefault("prefix", "");
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
		List<String> events = new ArrayList<>();
		long as;
		synchronized (this) {
			while (true) {
				this.history.stream()
					.filter((item) -> item.rev() > after && item.key().startsWith(prefix))
					.forEach((item) -> events.add(item.json()));
				as = this.revision;
				long leftMs = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
				if (!events.isEmpty() || leftMs <= 0) {
					break;
				}
				wait(leftMs);
			}
		}
		respond(call, 200, "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + as + "}");
	}

	@SuppressWarnings("unchecked")
	private void transaction(HttpExchange call, Map<String, Object> body) throws IOException {
		List<Object> expected = (List<Object>) body.getOrDefault("expected", List.of());
		List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
		List<Object> removals = (List<Object>) body.getOrDefault("remove", List.of());
		int status = 200;
		StringBuilder answer = new StringBuilder();
		synchronized (this) {
			List<String> current = new ArrayList<>();
			for (Object row : expected) {
				Map<String, Object> condition = (Map<String, Object>) row;
				Item item = this.items.get((String) condition.get("key"));
				if (((item != null) ? item.rev() : 0) != ((Number) condition.get("rev")).longValue()) {
					status = 412;
				}
				if (item != null) {
					current.add(item.json());
				}
			}
			for (Object put : puts) {
				Object lease = ((Map<String, Object>) put).get("lease");
				if (status == 200 && lease instanceof Number number && number.longValue() != 0
						&& !this.leaseTtl.containsKey(number.longValue())) {
					status = 404;
				}
			}
			if (status == 200) {
				for (Object row : puts) {
					Map<String, Object> put = (Map<String, Object>) row;
					Object lease = put.get("lease");
					putItem((String) put.get("key"), Base64.getDecoder().decode((String) put.get("value")),
							(lease instanceof Number number) ? number.longValue() : 0);
				}
				removals.forEach((key) -> remove((String) key));
				answer.append("{\"rev\":").append(this.revision).append(",\"as_of\":").append(this.revision).append('}');
			}
			else {
				answer.append("{\"items\":[").append(String.join(",", current)).append("],\"as_of\":").append(this.revision).append('}');
			}
		}
		respond(call, status, answer.toString());
	}

	private void lease(HttpExchange call, Map<String, Object> body) throws IOException {
		long ttl = ((Number) body.get("ttl_ms")).longValue();
		long id;
		synchronized (this) {
			id = ++this.nextLease;
			this.leaseTtl.put(id, ttl);
			schedule(id, ttl);
		}
		respond(call, 200, "{\"lease\":" + id + ",\"ttl_ms\":" + ttl + "}");
	}

	private void schedule(long id, long ttl) {
		ScheduledFuture<?> old = this.leaseTimers.put(id,
				this.timer.schedule(() -> expire(id), ttl, TimeUnit.MILLISECONDS));
		if (old != null) {
			old.cancel(false);
		}
	}

	private synchronized void expire(long id) {
		if (this.leaseTtl.remove(id) != null) {
			this.items.values().stream().filter((item) -> item.lease() == id).map(Item::key).toList().forEach(this::remove);
		}
	}

	private void keep(HttpExchange call, long id) throws IOException {
		boolean held;
		synchronized (this) {
			held = this.leaseTtl.containsKey(id);
			if (held) {
				schedule(id, this.leaseTtl.get(id));
			}
		}
		respond(call, (held) ? 200 : 404, "{\"lease\":" + id + "}");
	}

	private void end(HttpExchange call, long id) throws IOException {
		expire(id);
		respond(call, 200, "{}");
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.timer.shutdownNow();
	}

}
