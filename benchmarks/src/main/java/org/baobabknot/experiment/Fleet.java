package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A running fleet: one process with all stand-ins and one process for each entry and
 * agent, on loopback. The launcher of the context ends these processes.
 */
public final class Fleet {

	/** Model version in the initial rules. */
	public static final String FIRST_VERSION = "v1";

	private static final String STANDIN_MAIN = "org.baobabknot.standin.StandinProgram";

	private static final String DAEMON_MAIN = "org.baobabknot.daemon.Baobabknotd";

	private static final String PEER_MAIN = "org.baobabknot.experiment.PeerHost";

	private static final String TOKEN = "operator-token-of-this-run";

	private static final List<String> OPTIMIZER_FLAGS = List.of("-XX:TieredStopAtLevel=4", "-XX:CICompilerCount=3");

	// Starting 30 Java processes on a busy machine takes several seconds.
	private static final long START_TIMEOUT_MS = 60_000;

	private final ExperimentContext context;

	private final FleetPlan plan;

	private final FleetOptions options;

	private final ControlClient control = new ControlClient();

	private final Map<String, LaunchedProcess> processes = new ConcurrentHashMap<>();

	private final Map<String, Path> settings = new ConcurrentHashMap<>();

	private final Map<String, String> digests = new ConcurrentHashMap<>();

	private final Map<String, String> manifestDigests = new ConcurrentHashMap<>();

	private final OperatorTool tool;

	private Fleet(ExperimentContext context, Deployment deployment, FleetOptions options) {
		this.context = context;
		this.options = options;
		this.plan = new FleetPlan(deployment, options);
		this.tool = new OperatorTool(context.launcher(), context.launcher().folder().resolve("baobabknotctl.json"));
	}

	/**
	 * Starts a fleet and waits until its entries are ready. No rules are applied.
	 * @param context the launcher and the progress output
	 * @param deployment sizes, rates and delays
	 * @param options how to run it
	 * @return the running fleet
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	public static Fleet start(ExperimentContext context, Deployment deployment, FleetOptions options)
			throws IOException, InterruptedException {
		Fleet fleet = new Fleet(context, deployment, options);
		fleet.startStandins();
		fleet.writeSettings();
		List<String> hosted = new ArrayList<>();
		for (Deployment.Instance instance : deployment.instances()) {
			if (options.hosted() && !instance.name().endsWith("-1")) {
				hosted.add(String.valueOf(fleet.settings.get(instance.name())));
			}
			else {
				fleet.startProcess(instance.name());
			}
		}
		if (!hosted.isEmpty()) {
			fleet.processes.put("peers", context.launcher()
				.start("peers", PEER_MAIN, List.of("-Xmx3g", OPTIMIZER_FLAGS.get(0), OPTIMIZER_FLAGS.get(1)), hosted));
		}
		fleet.awaitHealthy();
		return fleet;
	}

	/**
	 * Ends all processes of this fleet, so that another one can start.
	 */
	public void stop() {
		this.context.launcher().stop(List.copyOf(this.processes.values()));
	}

	private void startStandins() throws IOException, InterruptedException {
		Path file = this.context.launcher().writeJson("standins.json", this.plan.standinSettings(this.options.seed()));
		LaunchedProcess process = this.context.launcher()
			.start("standins", STANDIN_MAIN, List.of("-Xmx1g", OPTIMIZER_FLAGS.get(0), OPTIMIZER_FLAGS.get(1)),
					List.of("--settings", file.toString()));
		this.processes.put("standins", process);
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		while (!process.logText().contains("\"ports\"")) {
			if (!process.isAlive() || System.nanoTime() - deadlineNanos > 0) {
				throw new IOException("stand-ins did not start: " + process.logText());
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		JsonNode manifest = this.control.readJson(url(FleetPlan.ORIGIN) + "/v1/models/"
				+ this.plan.deployment().modelService().name() + "/" + FIRST_VERSION + "/manifest");
		recordDigest(manifest);
	}

	private void writeSettings() throws IOException, InterruptedException {
		ProcessLauncher launcher = this.context.launcher();
		launcher.writeText("token", TOKEN);
		List<Deployment.Instance> instances = this.plan.deployment().instances();
		launcher.writeJson("baobabknotctl.json", this.plan.toolSettings(launcher.folder()));
		if (this.options.tls()) {
			List<String> arguments = new ArrayList<>(List.of("keys", launcher.folder().resolve("keys").toString()));
			instances.forEach((instance) -> arguments.add(instance.name()));
			arguments.add("operator");
			this.tool.run(arguments).jsonOrThrow();
		}
		Map<String, Map<String, String>> platforms = new TreeMap<>();
		for (Deployment.Domain domain : this.plan.deployment().domains()) {
			platforms.put(domain.name(), platformUrls(domain));
		}
		for (Deployment.Instance instance : instances) {
			registerRoutes(instance);
			Map<String, String> platform = platforms.getOrDefault(instance.domain().name(), Map.of());
			this.settings.put(instance.name(),
					launcher.writeJson(instance.name() + ".json", this.plan.processSettings(instance, platform)));
		}
	}

	private Map<String, String> platformUrls(Deployment.Domain domain) throws IOException, InterruptedException {
		Deployment.Domain home = this.plan.deployment().domains().get(0);
		Map<String, String> urls = new TreeMap<>();
		for (String name : List.of(FleetPlan.STORE, FleetPlan.MEMBERS, FleetPlan.ORIGIN)) {
			String url = url(name);
			urls.put(name, domain.equals(home) ? url : "http://127.0.0.1:" + createForwarder(domain.name(), home.name(),
					Integer.parseInt(url.substring(url.lastIndexOf(':') + 1))));
		}
		return urls;
	}

	// Registers a forwarder for each other failure domain, so that its traffic to the
	// instance passes the simulated link.
	private void registerRoutes(Deployment.Instance instance) throws IOException, InterruptedException {
		int port = this.plan.ports(instance.name()).process();
		ObjectNode viewers = JsonNodeFactory.instance.objectNode();
		for (Deployment.Domain viewer : this.plan.deployment().domains()) {
			if (!viewer.equals(instance.domain())) {
				viewers.putObject(viewer.name())
					.put("host", "127.0.0.1")
					.put("port", createForwarder(viewer.name(), instance.domain().name(), port));
			}
		}
		this.control.send("PUT", url(FleetPlan.MEMBERS) + "/v1/routes/" + instance.name(), viewers);
	}

	private int createForwarder(String from, String to, int port) throws IOException, InterruptedException {
		ObjectNode body = JsonNodeFactory.instance.objectNode()
			.put("from", from)
			.put("to", to)
			.put("host", "127.0.0.1")
			.put("port", port);
		return this.control.send("PUT", url(FleetPlan.LINKS) + "/v1/forwarders", body).path("port").asInt();
	}

	/**
	 * Starts the process of an instance, or restarts it after it has ended.
	 * @param instance the instance
	 * @return the process
	 */
	public LaunchedProcess startProcess(String instance) {
		List<String> jvmOptions = new ArrayList<>(List.of("-Xmx" + this.options.heapMegabytes() + "m"));
		if (this.options.optimized()) {
			jvmOptions.addAll(OPTIMIZER_FLAGS);
		}
		LaunchedProcess process = this.context.launcher()
			.start(instance, DAEMON_MAIN, jvmOptions,
					List.of("--settings", String.valueOf(this.settings.get(instance))));
		this.processes.put(instance, process);
		return process;
	}

	private void awaitHealthy() throws IOException, InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		for (Deployment.Instance instance : this.plan.deployment().instances()) {
			awaitHealthy(instance, end);
		}
	}

	private void awaitHealthy(Deployment.Instance instance, long endNanos) throws IOException, InterruptedException {
		while (!isHealthy(instance)) {
			LaunchedProcess process = processOf(instance);
			if (!process.isAlive() || System.nanoTime() - endNanos > 0) {
				throw new IOException(instance.name() + " did not start: " + process.logText());
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	/**
	 * Waits until a restarted process responds to its health check.
	 * @param instance the instance
	 * @throws IOException when the process has ended or does not respond in time
	 * @throws InterruptedException when interrupted
	 */
	public void awaitHealthy(String instance) throws IOException, InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		for (Deployment.Instance candidate : this.plan.deployment().instances()) {
			if (candidate.name().equals(instance)) {
				awaitHealthy(candidate, end);
			}
		}
	}

	private LaunchedProcess processOf(Deployment.Instance instance) {
		return process(this.processes.containsKey(instance.name()) ? instance.name() : "peers");
	}

	private boolean isHealthy(Deployment.Instance instance) throws InterruptedException {
		int port = this.plan.ports(instance.name()).operator();
		try {
			this.control.readText("http://127.0.0.1:" + port + "/healthz");
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Publishes a model version at the origin.
	 * @param version the version
	 * @param seed seed of its content
	 * @throws IOException when the origin does not respond
	 * @throws InterruptedException when interrupted
	 */
	public void publish(String version, long seed) throws IOException, InterruptedException {
		Deployment.Model model = this.plan.deployment().model();
		ObjectNode body = JsonNodeFactory.instance.objectNode()
			.put("seed", seed)
			.put("size", model.bytes())
			.put("chunk_size", model.chunkBytes());
		recordDigest(this.control.send("PUT",
				url(FleetPlan.ORIGIN) + "/v1/models/" + this.plan.deployment().modelService().name() + "/" + version,
				body));
	}

	private void recordDigest(JsonNode manifest) {
		this.digests.put(manifest.path("version").asText(), manifest.path("whole_digest").asText());
	}

	/**
	 * Returns the manifest digest of a published version, as the operator tool prints it.
	 * @param version the version
	 * @return the digest for a rule
	 */
	public String manifestDigest(String version) {
		return this.manifestDigests.computeIfAbsent(version,
				(key) -> this.tool.run("manifest", this.plan.deployment().modelService().name(), key)
					.jsonOrThrow()
					.path("digest")
					.asText());
	}

	/**
	 * Returns the digests of the whole weights by version, for checks of responses.
	 * @return a live map
	 */
	public Map<String, String> digests() {
		return this.digests;
	}

	/**
	 * Returns the deployment.
	 * @return sizes, rates and delays
	 */
	public Deployment deployment() {
		return this.plan.deployment();
	}

	/**
	 * Returns the operator tool with the settings of this fleet.
	 * @return the tool
	 */
	public OperatorTool tool() {
		return this.tool;
	}

	/**
	 * Returns the caller addresses of all entries.
	 * @return the addresses
	 */
	public List<InetSocketAddress> callerAddresses() {
		return this.plan.deployment()
			.instances()
			.stream()
			.filter(Deployment.Instance::isEntry)
			.map((instance) -> callerAddress(instance.name()))
			.toList();
	}

	/**
	 * Returns the caller address of an entry.
	 * @param entry the instance
	 * @return the address
	 */
	public InetSocketAddress callerAddress(String entry) {
		return new InetSocketAddress("127.0.0.1", this.plan.ports(entry).http());
	}

	/**
	 * Returns the address of the origin.
	 * @return the URL without a path
	 */
	public String originUrl() {
		return url(FleetPlan.ORIGIN);
	}

	/**
	 * Returns the address of a target.
	 * @param instance the instance of its agent
	 * @return the address
	 */
	public InetSocketAddress targetAddress(String instance) {
		return new InetSocketAddress("127.0.0.1", this.plan.ports(instance).target());
	}

	/**
	 * Returns the process port of an instance.
	 * @param instance the instance
	 * @return the port on 127.0.0.1
	 */
	public int processPort(String instance) {
		return this.plan.ports(instance).process();
	}

	/**
	 * Returns a process.
	 * @param instance the instance, or {@code standins}
	 * @return the process that was started last for the instance
	 */
	public LaunchedProcess process(String instance) {
		LaunchedProcess process = this.processes.get(instance);
		if (process == null) {
			throw new IllegalArgumentException("no process " + instance);
		}
		return process;
	}

	/**
	 * Returns the metrics of a process.
	 * @param instance the instance
	 * @return the text of {@code /metrics}
	 * @throws IOException when the process does not respond
	 * @throws InterruptedException when interrupted
	 */
	public String metrics(String instance) throws IOException, InterruptedException {
		return this.control.readText("http://127.0.0.1:" + this.plan.ports(instance).operator() + "/metrics");
	}

	/**
	 * Returns the record of the requests that a stand-in received.
	 * @param standin {@code store}, {@code members}, {@code origin}, {@code links} or the
	 * instance of a target
	 * @return the record as JSON
	 * @throws IOException when it does not respond
	 * @throws InterruptedException when interrupted
	 */
	public JsonNode readRecord(String standin) throws IOException, InterruptedException {
		return this.control.readJson(url(standin) + "/record");
	}

	/**
	 * Switches a fault of a stand-in on.
	 * @param standin as for {@link #readRecord}
	 * @param fault the fault
	 * @throws IOException when it does not respond
	 * @throws InterruptedException when interrupted
	 */
	public void setFault(String standin, JsonNode fault) throws IOException, InterruptedException {
		this.control.send("POST", url(standin) + "/fault", fault);
	}

	/**
	 * Switches all faults of a stand-in off.
	 * @param standin as for {@link #readRecord}
	 * @throws IOException when it does not respond
	 * @throws InterruptedException when interrupted
	 */
	public void clearFaults(String standin) throws IOException, InterruptedException {
		this.control.send("DELETE", url(standin) + "/fault", JsonNodeFactory.instance.objectNode());
	}

	/**
	 * Switches one fault of a stand-in off.
	 * @param standin as for {@link #readRecord}
	 * @param kind the kind of the fault
	 * @throws IOException when it does not respond
	 * @throws InterruptedException when interrupted
	 */
	public void clearFault(String standin, String kind) throws IOException, InterruptedException {
		this.control.send("DELETE", url(standin) + "/fault?kind=" + kind, JsonNodeFactory.instance.objectNode());
	}

	/**
	 * Writes a value into the store, as the operator tool does.
	 * @param key the key
	 * @param expectedVersion expected current version, for compare-and-swap
	 * @param value the value
	 * @return the new version
	 * @throws IOException when the store refuses
	 * @throws InterruptedException when interrupted
	 */
	public long writeToStore(String key, long expectedVersion, JsonNode value)
			throws IOException, InterruptedException {
		return this.control.send("PUT", url(FleetPlan.STORE) + "/v1/kv/" + key + "?expect=" + expectedVersion, value)
			.path("version")
			.asLong();
	}

	private String url(String standin) {
		return this.plan.standinUrl(standin);
	}

}
