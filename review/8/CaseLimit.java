import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replaces the only gateway of a region whose engines state limits, while gateways of
 * another region send as many requests as they may.
 */
final class CaseLimit {

	private static final int ENGINES = 6;

	private static final int GATEWAYS = 10;

	private static final int CLIENTS_OF_GATEWAY = 10;

	/** Requests a second that each engine states. */
	private static final int LIMIT = 12;

	private static final double WINDOW_SECONDS = 4;

	/** The bound of the rule in such a window. */
	private static final double BOUND = LIMIT * WINDOW_SECONDS * 1.5 + 5;

	/** Time from the first statement of a limit until the rule binds, contact_ms. */
	private static final double CONTACT_SECONDS = 3;

	private final Record record;

	private final Map<String, ArrayDeque<Double>> lastWindow = new TreeMap<>();

	private final Map<String, Integer> most = new TreeMap<>();

	private final Map<String, Double> firstSeconds = new TreeMap<>();

	private CaseLimit(Record record) {
		this.record = record;
	}

	// Only gateways that have run all the while are counted.
	private synchronized void runs(String engine, HttpStandin.Request request) {
		double now = this.record.seconds();
		this.firstSeconds.putIfAbsent(engine, now);
		if (!request.path().startsWith("/orders/karachi") || now < this.firstSeconds.get(engine) + CONTACT_SECONDS) {
			return;
		}
		ArrayDeque<Double> window = this.lastWindow.computeIfAbsent(engine, (absent) -> new ArrayDeque<>());
		window.add(now);
		while (now - window.peek() >= WINDOW_SECONDS) {
			window.remove();
		}
		this.most.merge(engine, window.size(), Math::max);
	}

	private synchronized String windows() {
		double now = this.record.seconds();
		Map<String, Integer> sizes = new TreeMap<>();
		this.lastWindow.forEach((engine, window) -> sizes.put(engine,
				(int) window.stream().filter((each) -> now - each < WINDOW_SECONDS).count()));
		return sizes.toString();
	}

	private Outcome run(boolean trouble) throws IOException {
		StoreStandin store = new StoreStandin("127.0.70.1");
		for (int index = 1; index <= ENGINES; index++) {
			new PlainEngine(store, this.record, "i-desk" + index, "127.0.71." + index, "order-desk", "lahore-a", 16, 0,
					this::runs)
				.stateLimit(LIMIT);
		}
		store.put("op/config",
				new Config(7).route("/orders/", "unsafe", "order-desk", 1_500, 1)
					.plainService("order-desk", 500, 0, 0)
					.json());
		Fleet fleet = new Fleet(this.record, store.address(), Map.of("lahore-a", "punjab", "karachi-a", "sindh"));
		fleet.startGateway("front-lahore-a-1", "127.0.72.1", "lahore-a");
		List<String> hosts = new ArrayList<>(List.of("127.0.72.1"));
		for (int index = 1; index <= GATEWAYS; index++) {
			hosts.add("127.0.73." + index);
			fleet.startGateway("front-karachi-a-" + index, "127.0.73." + index, "karachi-a");
		}
		Caller.awaitReady(hosts.toArray(String[]::new));
		Caller caller = new Caller(this.record);
		AtomicInteger served = new AtomicInteger();
		for (String host : hosts.subList(1, hosts.size())) {
			for (int client = 0; client < CLIENTS_OF_GATEWAY; client++) {
				HttpStandin.daemon(() -> {
					while (true) {
						Caller.Result result = caller.call(host, "POST", "/orders/karachi-" + host, Map.of(), 1_500,
								false);
						served.addAndGet((result.status() == 200) ? 1 : 0);
						StoreStandin.pause(100);
					}
				});
			}
		}
		pauseAndLog(20);
		if (trouble) {
			fleet.terminate("front-lahore-a-1");
			this.record.line("front-lahore-a-1 is taken away for good");
		}
		pauseAndLog(30);
		if (trouble) {
			fleet.startGateway("front-lahore-a-2", "127.0.72.2", "lahore-a");
			this.record.line("front-lahore-a-2 is added in its place");
		}
		pauseAndLog(20);
		int highest = this.most.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		this.record.line(served + " requests served; most in " + WINDOW_SECONDS + " s: " + this.most + ", bound " + BOUND);
		if (highest > BOUND) {
			this.record.line("LIMIT is broken");
			return Outcome.BROKEN;
		}
		return (served.get() > 500) ? Outcome.HELD : Outcome.COULD_NOT_RUN;
	}

	private void pauseAndLog(int seconds) {
		for (int second = 0; second < seconds; second++) {
			StoreStandin.pause(1_000);
			this.record.line("requests of the last 4 s by engine: " + windows());
		}
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = Boolean.parseBoolean(arguments[1]);
		new CaseLimit(new Record(Path.of(arguments[0], "record.txt"))).run(trouble).exit();
	}

}
