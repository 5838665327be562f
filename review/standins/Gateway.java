package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the command and the settings template of the deploy file. */
final class Gateway implements AutoCloseable {

	private final Path folder;

	private final String name;

	private final Map<String, String> values;

	/** Address of the store for this gateway, for a path of its own. */
	String storeAddress;

	private Process process;

	final String host;

	final int port;

	private final int readyPort;

	Gateway(Path folder, String name, int number, String zone, String region, String zones, Store store,
			int[] sharedPorts) throws IOException {
		this.folder = folder;
		this.name = name;
		this.host = "127.0.0." + (10 + number);
		this.port = sharedPorts[0];
		this.readyPort = sharedPorts[1];
		this.storeAddress = store.address();
		this.values = Map.ofEntries(Map.entry("node_name", Json.quote(name)), Map.entry("zone", Json.quote(zone)),
				Map.entry("region", Json.quote(region)), Map.entry("zones", zones),
				Map.entry("ip", Json.quote(this.host)),
				Map.entry("listen.front", Json.quote(this.host + ":" + this.port)),
				Map.entry("listen.ready", Json.quote(this.host + ":" + this.readyPort)),
				Map.entry("port_range.0", Integer.toString(sharedPorts[2])),
				Map.entry("port_range.1", Integer.toString(sharedPorts[3])),
				Map.entry("bounds.config_apply_ms", "2000"), Map.entry("bounds.revoke_ms", "5000"),
				Map.entry("bounds.version_ms", "8000"), Map.entry("bounds.grace_s", "8"),
				Map.entry("bounds.retry_budget_ratio", "0.2"), Map.entry("bounds.budget_window_s", "10"),
				Map.entry("bounds.budget_min_retries", "234"), Map.entry("bounds.cold_overshoot", "1.5"),
				Map.entry("bounds.cold_slack", "5"), Map.entry("heartbeat_ms", "1200"),
				Map.entry("limits.max_fds", "2069"), Map.entry("limits.link_mbps", "490"));
	}

	/** Returns free ports for all gateways, which have an address each. */
	static int[] freePorts() throws IOException {
		int[] ports = new int[4];
		List<ServerSocket> open = new ArrayList<>();
		for (int index = 0; index < ports.length; index++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.10"));
			open.add(socket);
			ports[index] = socket.getLocalPort();
		}
		for (ServerSocket socket : open) {
			socket.close();
		}
		return ports;
	}

	String name() {
		return this.name;
	}

	long pid() {
		return this.process.pid();
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitValue() {
		return this.process.exitValue();
	}

	void start() throws IOException {
		String template = Files.readString(Path.of("deploy/gateway.json"));
		Matcher matcher = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?}}").matcher(template);
		String text = matcher.replaceAll((match) -> {
			String value = (match.group(1).equals("provider.address")) ? Json.quote(this.storeAddress)
					: this.values.get(match.group(1));
			if (value == null) {
				throw new IllegalStateException("no value for " + match.group(1));
			}
			return Matcher.quoteReplacement(value);
		});
		Path settings = this.folder.resolve(this.name + ".json");
		Files.writeString(settings, text);
		Matcher run = Pattern.compile("(?s)\\[roles\\.gateway].*?run = \"([^\"]+)\"")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IllegalStateException("the deploy file has no command for gateways");
		}
		ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
		builder.environment().put("BAOBABKNOT_CONFIG", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.folder.toFile(), this.name + ".log")));
		this.process = builder.start();
		Record.line("gateway %s starts at %s:%d, process %d", this.name, this.host, this.port, this.process.pid());
	}

	void awaitReady() throws IOException, InterruptedException {
		for (int tries = 0; tries < 400; tries++) {
			if (ready()) {
				Record.line("gateway %s is ready", this.name);
				return;
			}
			Thread.sleep(50);
		}
		throw new IOException(this.name + " was not ready in time");
	}

	boolean ready() {
		try {
			HttpURLConnection call = (HttpURLConnection) new URL("http://" + this.host + ":" + this.readyPort + "/readyz")
				.openConnection();
			call.setConnectTimeout(500);
			call.setReadTimeout(500);
			int status = call.getResponseCode();
			call.disconnect();
			return status == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Ends the process as a loss of power does. */
	void kill() {
		Record.line("gateway %s is killed", this.name);
		this.process.destroyForcibly();
	}

	void signal(String signal) throws IOException, InterruptedException {
		Record.line("gateway %s gets SIG%s", this.name, signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
	}

	String log() throws IOException {
		return Files.readString(this.folder.resolve(this.name + ".log"), StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
			try {
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
