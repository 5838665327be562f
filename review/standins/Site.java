package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store, engines and gateways of one zone, and the configuration. */
final class Site implements AutoCloseable {

	static final String MODEL = "model-a";

	final Store store = new Store();

	final Path folder = Files.createTempDirectory("review");

	final List<Engine> engines = new ArrayList<>();

	final List<Gateway> gateways = new ArrayList<>();

	/** Name of the gateway that reaches the store over {@link #link}. */
	String gatewayWithLink = "";

	StoreLink link;

	private final Thread cleaner = new Thread(this::end);

	Site() throws IOException {
		Runtime.getRuntime().addShutdownHook(this.cleaner);
	}

	static boolean trouble() {
		return Boolean.parseBoolean(System.getProperty("review.trouble", "true"));
	}

	static String route(String name, String kind, String service) {
		return route(name, kind, service, kind.equals("streaming"));
	}

	static String route(String name, String kind, String service, boolean resumable) {
		return "{\"name\":" + Json.quote(name) + ",\"host\":\"host.example\",\"prefix\":\"/" + name + "/\",\"kind\":"
				+ Json.quote(kind) + ",\"timeout_ms\":6000,\"goal_ms\":400,\"gap_goal_ms\":300,\"priority\":1,\"service\":"
				+ Json.quote(service) + ",\"max_attempts\":2,\"anonymous\":false,\"resumable\":"
				+ resumable + ",\"sticky\":" + kind.equals("streaming") + ",\"allowed_regions\":[]}";
	}

	/** Writes a configuration; the return is the operator's acknowledgement. */
	void configure(long version, List<String> routes, int bodyBytes) {
		StringBuilder config = new StringBuilder("{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "]");
		config.append(",\"services\":[{\"name\":\"advice\",\"max_conns\":526,\"cold_s\":0,\"cold_per_s\":0,\"health_path\":\"/health\","
				+ "\"engine\":{\"slots\":16,\"step_ms\":7.4,\"per_seq_ms\":0.01,\"context_per_k\":0,\"read_per_s\":31900.0,\"chunk\":2048,"
				+ "\"stride\":6,\"usual\":{\"prompt\":900,\"answer\":100},\"layers\":16,\"report_lag_ms\":200,"
				+ "\"models\":[{\"name\":\"" + MODEL + "\",\"warm_s\":0.3}],\"chunks\":96,\"chunk_bytes\":24576}},"
				+ "{\"name\":\"orders\",\"max_conns\":248,\"cold_s\":0,\"cold_per_s\":0,\"health_path\":\"/health\"},"
				+ "{\"name\":\"orders-b\",\"max_conns\":248,\"cold_s\":0,\"cold_per_s\":0,\"health_path\":\"/health\"}]");
		config.append(",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + bodyBytes
				+ ",\"header_timeout_ms\":2000,\"idle_timeout_ms\":20000}");
		config.append(",\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"],\"allowed_regions\":[]},"
				+ "{\"name\":\"tenant-b\",\"api_keys\":[\"key-b\"],\"allowed_regions\":[]}]}");
		this.store.put("op/config", config.toString());
		Record.line("configuration %d acknowledged", version);
	}

	void startGateways(int count) throws IOException, InterruptedException {
		int[] ports = Gateway.freePorts();
		for (int number = 0; number < count; number++) {
			Gateway gateway = new Gateway(this.folder, "front-" + (number + 1), number, "zone-a", "region-a",
					"{\"zone-a\":\"region-a\"}", this.store, ports);
			this.gateways.add(gateway);
			if (gateway.name().equals(this.gatewayWithLink)) {
				this.link = new StoreLink(this.store);
				gateway.storeAddress = this.link.address();
			}
			gateway.start();
		}
		for (Gateway gateway : this.gateways) {
			gateway.awaitReady();
		}
		// The gateways know each other only some seconds after the last one has registered.
		Thread.sleep(5_000);
	}

	Engine engine(String service, String model) throws IOException {
		Engine engine = new Engine(this.store, service, "zone-a", model);
		this.engines.add(engine);
		return engine;
	}

	private void end() {
		this.gateways.forEach(Gateway::close);
		String kept = System.getenv("KEEP_LOGS");
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				if (kept != null && file.toString().endsWith(".log")) {
					Files.copy(file, Path.of(kept, file.getFileName().toString()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
				}
				Files.delete(file);
			}
		}
		catch (IOException ex) {
			Record.line("temporary folder remains: %s", ex);
		}
	}

	@Override
	public void close() {
		Runtime.getRuntime().removeShutdownHook(this.cleaner);
		end();
		this.engines.forEach(Engine::close);
		this.store.close();
	}

	/** Runs a case and ends the process with its result. */
	static void run(String recordFile, Case body) {
		int result = 2;
		try {
			Record.open(Path.of(recordFile));
			Record.line("TROUBLE=%s", trouble() ? "1" : "0");
			try (Site site = new Site()) {
				result = body.run(site) ? 1 : 0;
			}
		}
		catch (Exception ex) {
			Record.verdict("the case could not run: %s", ex);
		}
		Record.verdict("%s", switch (result) {
			case 0 -> "HELD";
			case 1 -> "BROKEN";
			default -> "NOT RUN";
		});
		System.exit(result);
	}

	/** A case; returns whether the rule was broken. */
	interface Case {

		boolean run(Site site) throws Exception;

	}

}
