package org.baobabknot.experiment;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Assigns the ports of a deployment and builds its settings: one object for the stand-ins
 * and one for each process.
 */
final class FleetPlan {

	/** Names of the stand-ins that are not targets. */
	static final String STORE = "store";

	static final String MEMBERS = "members";

	static final String ORIGIN = "origin";

	static final String LINKS = "links";

	private static final String HOST = "127.0.0.1";

	private static final int PORTS_PER_INSTANCE = 4;

	private final Deployment deployment;

	private final FleetOptions options;

	private final Map<String, Integer> standinPorts = new LinkedHashMap<>();

	private final Map<String, Ports> ports = new LinkedHashMap<>();

	FleetPlan(Deployment deployment, FleetOptions options) {
		this.deployment = deployment;
		this.options = options;
		List<Deployment.Instance> instances = deployment.instances();
		List<Integer> freePorts = FreePorts.find(4 + PORTS_PER_INSTANCE * instances.size());
		int next = 0;
		for (String name : List.of(STORE, MEMBERS, ORIGIN, LINKS)) {
			this.standinPorts.put(name, freePorts.get(next++));
		}
		for (Deployment.Instance instance : instances) {
			this.ports.put(instance.name(), new Ports(freePorts.get(next), freePorts.get(next + 1),
					freePorts.get(next + 2), freePorts.get(next + 3)));
			next += PORTS_PER_INSTANCE;
		}
	}

	Deployment deployment() {
		return this.deployment;
	}

	Ports ports(String instance) {
		Ports instancePorts = this.ports.get(instance);
		if (instancePorts == null) {
			throw new IllegalArgumentException("no instance " + instance);
		}
		return instancePorts;
	}

	String standinUrl(String name) {
		Integer port = this.standinPorts.get(name);
		return "http://" + HOST + ":" + ((port != null) ? port : ports(name).target());
	}

	/**
	 * Returns the settings of the stand-in process.
	 * @param seed seed of the content of the first model version
	 * @return settings for {@code StandinProgram}
	 */
	ObjectNode standinSettings(long seed) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		ArrayNode list = root.putArray("standins");
		addStandin(list, "store", STORE, this.standinPorts.get(STORE));
		addStandin(list, "members", MEMBERS, this.standinPorts.get(MEMBERS));
		ObjectNode origin = addStandin(list, "origin", ORIGIN, this.standinPorts.get(ORIGIN));
		origin.put("bytes_per_second", this.deployment.originBytesPerSecond());
		origin.putArray("models")
			.addObject()
			.put("service", this.deployment.modelService().name())
			.put("version", Fleet.FIRST_VERSION)
			.put("seed", seed)
			.put("size", this.deployment.model().bytes())
			.put("chunk_size", this.deployment.model().chunkBytes());
		addStandin(list, "links", LINKS, this.standinPorts.get(LINKS)).putArray("pairs")
			.addObject()
			.put("from", "*")
			.put("to", "*")
			.put("bytes_per_second", this.deployment.link().bytesPerSecond())
			.put("delay_ms", this.deployment.link().delayMillis());
		for (Deployment.Instance instance : this.deployment.instances()) {
			instance.service().ifPresent((service) -> targetSettings(list, instance, service));
		}
		return root;
	}

	private static ObjectNode addStandin(ArrayNode list, String kind, String name, int port) {
		return list.addObject().put("kind", kind).put("name", name).put("port", port);
	}

	private void targetSettings(ArrayNode list, Deployment.Instance instance, Deployment.Service service) {
		ObjectNode node = addStandin(list, service.engine() ? "engine" : "plain", instance.name(),
				ports(instance.name()).target());
		node.put("service", service.name())
			.put("failure_domain", instance.domain().name())
			.put("capacity", service.capacity())
			.put("cold_limit", service.coldLimit())
			.put("cold_ms", service.coldMillis());
		if (service.engine()) {
			node.put("token_ms", service.workMillis()).put("load_ms", service.loadMillis());
		}
		else {
			node.put("time_ms", (long) service.workMillis());
		}
	}

	/**
	 * Returns the settings of one process.
	 * @param instance the instance
	 * @param platform addresses of the platform's services for clients in the instance's
	 * failure domain
	 * @return settings for the daemon
	 */
	ObjectNode processSettings(Deployment.Instance instance, Map<String, String> platform) {
		Ports instancePorts = ports(instance.name());
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("role", instance.isEntry() ? "entry" : "agent")
			.put("instance", instance.name())
			.put("failureDomain", instance.domain().name())
			.put("region", instance.domain().region());
		root.putObject("listen").put("host", HOST).put("port", instancePorts.process());
		root.putObject("operator").put("host", HOST).put("port", instancePorts.operator()).put("tokenFile", "token");
		ObjectNode urls = root.putObject("platform");
		platform.forEach(urls::put);
		root.putObject("links")
			.put("machineBytesPerSecond", this.deployment.machineBytesPerSecond())
			.put("regionBytesPerSecond", this.deployment.link().bytesPerSecond());
		ObjectNode tls = root.putObject("tls").put("enabled", this.options.tls());
		if (this.options.tls()) {
			tls.put("certificate", "keys/" + instance.name() + ".pem")
				.put("key", "keys/" + instance.name() + ".key")
				.put("authorities", "keys/authorities.pem");
		}
		root.putObject("limits").put("threads", this.options.threads());
		root.putObject("timeouts").put("balancerLagMs", this.options.balancerLagMillis());
		instance.service()
			.ifPresentOrElse((service) -> root.set("target", targetSettings(service, instancePorts)),
					() -> root.putObject("http").put("host", HOST).put("port", instancePorts.http()));
		return root;
	}

	/**
	 * Returns the settings of the operator tool.
	 * @param folder folder with the token and the keys
	 * @return settings for {@code baobabknotctl}
	 */
	ObjectNode toolSettings(Path folder) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("store", standinUrl(STORE)).put("origin", standinUrl(ORIGIN)).put("who", "quickstart");
		node.put("tokenFile", folder.resolve("token").toString());
		for (Deployment.Instance instance : this.deployment.instances()) {
			if (instance.isEntry()) {
				node.withArray("processes").add("127.0.0.1:" + ports(instance.name()).process());
			}
		}
		if (this.options.tls()) {
			Path keys = folder.resolve("keys");
			node.putObject("tls")
				.put("certificate", keys.resolve("operator.pem").toString())
				.put("key", keys.resolve("operator.key").toString())
				.put("authorities", keys.resolve("authorities.pem").toString());
		}
		return node;
	}

	private static ObjectNode targetSettings(Deployment.Service service, Ports own) {
		return JsonNodeFactory.instance.objectNode()
			.put("service", service.name())
			.put("url", "http://" + HOST + ":" + own.target())
			.put("kind", service.engine() ? "engine" : "plain")
			.put("coldLimit", service.coldLimit())
			.put("capacity", service.capacity());
	}

	/**
	 * Ports of one instance.
	 *
	 * @param process the process port
	 * @param operator the operator port
	 * @param http the caller port of an entry
	 * @param target the port of the target behind an agent
	 */
	record Ports(int process, int operator, int http, int target) {
	}

}
