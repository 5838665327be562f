import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the project's programs with the commands and templates of the deploy file, each
 * on a loopback address of its own, and ends them all.
 */
final class Fleet {

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}");

	private final Record record;

	private final Path folder;

	private final Map<String, Object> common = new TreeMap<>();

	private final Map<String, Process> processes = new TreeMap<>();

	/**
	 * Creates a fleet of a small deployment, with the bounds of the users' sheet.
	 */
	Fleet(Record record, String store, Map<String, Object> regionByZone) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("review-2-");
		this.common.putAll(Map.of("zones", regionByZone, "provider.address", store, "provider.writes_per_s", 400,
				"provider.reads_per_s", 2_000, "port_range.0", Ports.PEERS, "port_range.1", Ports.METRICS, "heartbeat_ms", 1_200));
		this.common.putAll(Map.of("bounds.config_apply_ms", 2_000, "bounds.revoke_ms", 5_000, "bounds.version_ms",
				8_000, "bounds.grace_s", 8, "bounds.retry_budget_ratio", 0.2, "bounds.budget_window_s", 10,
				"bounds.budget_min_retries", 234, "bounds.cold_overshoot", 1.5, "bounds.cold_slack", 5));
		this.common.putAll(Map.of("limits.max_fds", 2_069, "limits.link_mbps", 490));
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
	}

	void startGateway(String name, String host, String zone) throws IOException {
		start("gateway", name, host, zone,
				Map.of("listen.front", host + ":" + Ports.FRONT, "listen.ready", host + ":" + Ports.READY));
	}

	void startLoader(String name, String host, String zone, String engine, String service, double linkMbps)
			throws IOException {
		start("loader", name, host, zone, Map.of("app", engine, "service", service, "limits.link_mbps", linkMbps));
	}

	private void start(String role, String name, String host, String zone, Map<String, Object> fields)
			throws IOException {
		Map<String, Object> all = new TreeMap<>(this.common);
		all.putAll(Map.of("node_name", name, "ip", host, "zone", zone, "region",
				((Map<?, ?>) this.common.get("zones")).get(zone)));
		all.putAll(fields);
		Path settings = this.folder.resolve(name + ".json");
		Files.writeString(settings, fill(Files.readString(Path.of("deploy", role + ".json")), all));
		ProcessBuilder builder = new ProcessBuilder(command(role));
		builder.environment().put("BAOBABKNOT_CONFIG", settings.toString());
		File log = this.folder.resolve(name + ".log").toFile();
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log)).redirectError(ProcessBuilder.Redirect.appendTo(log));
		this.processes.put(name, builder.start());
		this.record.line("start " + name + " at " + host);
	}

	private static List<String> command(String role) throws IOException {
		Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"")
			.matcher(Files.readString(Path.of("deploy", "system.toml")));
		if (!run.find()) {
			throw new IllegalStateException("deploy/system.toml has no role " + role);
		}
		return new ArrayList<>(List.of(run.group(1).split(" ")));
	}

	private static String fill(String template, Map<String, Object> fields) {
		return PLACEHOLDER.matcher(template).replaceAll((match) -> {
			Object value = fields.get(match.group(1));
			if (value == null) {
				throw new IllegalStateException("no value for " + match.group(1));
			}
			return Matcher.quoteReplacement((match.group(2) != null) ? Json.write(value) : String.valueOf(value));
		});
	}

	/** Ends a process without notice, as a loss of its machine does. */
	void kill(String name) throws InterruptedException {
		Process process = this.processes.get(name);
		process.destroyForcibly();
		process.waitFor();
		this.record.line("kill " + name);
	}

	/** Sends SIGTERM. */
	void terminate(String name) {
		this.processes.get(name).destroy();
		this.record.line("SIGTERM " + name);
	}

	boolean runs(String name) {
		return this.processes.get(name).isAlive();
	}

	Path log(String name) {
		return this.folder.resolve(name + ".log");
	}

	void end() {
		this.processes.values().forEach(Process::destroyForcibly);
		for (Process process : this.processes.values()) {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		if (System.getenv("KEEP_LOGS") != null) {
			return;
		}
		File[] files = this.folder.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
	}

}
