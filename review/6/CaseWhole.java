import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Names a version, and the next one some seconds later, while clients send requests. */
final class CaseWhole {

	private static final String MODEL = "daka510000";

	private static final int ENGINES = 16;

	private static final int CLIENTS = 40;

	/** Seconds from a version to the next one, one for each round. */
	private static final double[] GAPS_SECONDS = { 4.5, 4.1, 3.7, 3.3, 4.5, 4.1, 3.7, 3.3, 4.5, 4.1, 3.7 };

	/** Link of each machine with a model engine. */
	private static final double LINK_MBPS = 20;

	private static final double LAST_ROUND_SECONDS = 84;

	private static final long STAGE_MS = Long.getLong("stageMs", 10);

	private CaseWhole() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = Boolean.parseBoolean(arguments[1]);
		Record record = new Record(Path.of(arguments[0], "record.txt"));
		StoreStandin store = new StoreStandin("127.0.30.1");
		Weights weights = new Weights("127.0.30.2", MODEL, 96, 24_576);
		List<ModelEngine> engines = new ArrayList<>();
		for (int index = 1; index <= ENGINES; index++) {
			engines.add(new ModelEngine(store, record, weights, "i-engine" + index, "127.0.31." + index, "advisor", MODEL,
					"lahore-a", STAGE_MS, 300));
		}
		store.put("op/config",
				new Config(7).route("/draft/", "streaming", "advisor", 6_000, 2)
					.modelService("advisor", MODEL, 16, 96, 24_576, 0.3)
					.origin("ledger", weights.address(), "lahore-a")
					.json());
		Fleet fleet = new Fleet(record, store.address(), Map.of("lahore-a", "punjab"));
		fleet.startGateway("front-1", "127.0.32.1", "lahore-a");
		for (int index = 1; index <= ENGINES; index++) {
			fleet.startLoader("side-" + index, "127.0.31." + index, "lahore-a", engines.get(index - 1).address(), "advisor",
					LINK_MBPS);
		}
		Caller.awaitReady("127.0.32.1");
		Caller caller = new Caller(record);
		AtomicInteger sent = new AtomicInteger();
		AtomicInteger served = new AtomicInteger();
		for (int client = 0; client < CLIENTS; client++) {
			HttpStandin.daemon(() -> {
				while (true) {
					sent.incrementAndGet();
					Caller.Result result = caller.call("127.0.32.1", "POST", "/draft/2f",
							Map.of("Model", MODEL, "Token-Counts", "100,24", "Prefix-Hash", "5c1e07a2:40,91bd3f06:60"),
							6_000, false);
					served.addAndGet((result.status() == 200) ? 1 : 0);
					StoreStandin.pause(50);
				}
			});
		}
		StoreStandin.pause(4_000);
		long version = 1;
		for (double gap : GAPS_SECONDS) {
			if (record.seconds() > LAST_ROUND_SECONDS) {
				break;
			}
			version = name(store, record, version + 1);
			if (trouble) {
				StoreStandin.pause((long) (gap * 1_000));
			}
			else {
				awaitVersion(engines, version, 12);
			}
			version = name(store, record, version + 1);
			awaitVersion(engines, version, 12);
			if (engines.stream().anyMatch((engine) -> engine.wrongTokens() > 0)) {
				break;
			}
		}
		int tokens = engines.stream().mapToInt(ModelEngine::tokens).sum();
		int wrong = engines.stream().mapToInt(ModelEngine::wrongTokens).sum();
		boolean loaded = engines.stream().allMatch((engine) -> engine.version() > 1);
		record.line("requests: " + sent + " sent, " + served + " served; tokens: " + tokens
				+ ", with a piece of another version: " + wrong);
		if (wrong > 0) {
			record.line("WHOLE is broken");
			Outcome.BROKEN.exit();
		}
		((loaded && served.get() > 100) ? Outcome.HELD : Outcome.COULD_NOT_RUN).exit();
	}

	private static long name(StoreStandin store, Record record, long version) {
		store.put("op/version/" + MODEL, Json.map("model", MODEL, "version", version));
		record.line("version " + version + " is named and acknowledged");
		return version;
	}

	private static void awaitVersion(List<ModelEngine> engines, long version, int seconds) {
		long end = System.nanoTime() + seconds * 1_000_000_000L;
		while (System.nanoTime() - end < 0 && engines.stream().anyMatch((engine) -> engine.version() < version)) {
			StoreStandin.pause(50);
		}
	}

}
