package org.baobabknot.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import org.baobabknot.standin.engine.EngineSettings;
import org.baobabknot.standin.engine.EngineStandin;
import org.baobabknot.standin.links.LinkSettings;
import org.baobabknot.standin.links.LinksStandin;
import org.baobabknot.standin.members.MembersStandin;
import org.baobabknot.standin.origin.OriginStandin;
import org.baobabknot.standin.plain.PlainSettings;
import org.baobabknot.standin.plain.PlainStandin;
import org.baobabknot.standin.store.StoreSettings;
import org.baobabknot.standin.store.StoreStandin;

/**
 * Starts the stand-ins that a settings file describes and gives access to their servers.
 */
public final class StandinSet implements AutoCloseable {

	private final Map<String, StandinServer> servers = new LinkedHashMap<>();

	private final List<StandinServer> startedServers = new ArrayList<>();

	private StandinSet() {
	}

	/**
	 * Starts the stand-ins and publishes the models in the settings at their origin.
	 * @param group supplies event loops
	 * @param settings the settings: an object with a list {@code standins}
	 * @return the set
	 * @throws IllegalArgumentException when the settings are wrong; the message lists
	 * every error with its path
	 */
	public static StandinSet start(EventLoopGroup group, JsonNode settings) {
		List<String> errors = new ArrayList<>();
		SettingsNode root = new SettingsNode(settings, "settings", errors);
		List<StandinPlan> plans = new ArrayList<>();
		for (SettingsNode node : root.list("standins")) {
			readPlan(node).ifPresent(plans::add);
		}
		root.reportUnknownFields();
		if (!errors.isEmpty()) {
			throw new IllegalArgumentException(String.join(System.lineSeparator(), errors));
		}
		StandinSet set = new StandinSet();
		for (StandinPlan plan : plans) {
			StandinServer server = StandinServer.start(group, plan.port(), plan.standin());
			set.startedServers.add(server);
			set.servers.put(plan.name(), server);
			plan.afterStart().run();
		}
		return set;
	}

	private static Optional<StandinPlan> readPlan(SettingsNode node) {
		String kind = node.text("kind");
		String name = node.text("name", kind);
		int port = (int) node.number("port", 0, 0, 65535);
		Optional<StandinPlan> plan = switch (kind) {
			case "store" -> Optional.of(StandinPlan.of(name, port, new StoreStandin(readStoreSettings(node))));
			case "members" -> Optional
				.of(StandinPlan.of(name, port, new MembersStandin(node.number("lag_ms", 0, 0, Integer.MAX_VALUE))));
			case "origin" -> Optional.of(readOriginPlan(node, name, port));
			case "engine" -> Optional.of(StandinPlan.of(name, port, new EngineStandin(readEngineSettings(node))));
			case "plain" -> Optional.of(StandinPlan.of(name, port, new PlainStandin(readPlainSettings(node))));
			case "links" -> Optional.of(StandinPlan.of(name, port, new LinksStandin(readLinkSettings(node))));
			default -> {
				node.addError("kind", "store, members, origin, engine, plain or links");
				yield Optional.empty();
			}
		};
		node.reportUnknownFields();
		return plan;
	}

	private static StoreSettings readStoreSettings(SettingsNode node) {
		StoreSettings defaults = StoreSettings.defaults();
		return new StoreSettings(node.integer("reads_per_second", defaults.readsPerSecond(), 1),
				node.integer("writes_per_second", defaults.writesPerSecond(), 1));
	}

	private static StandinPlan readOriginPlan(SettingsNode node, String name, int port) {
		OriginStandin origin = new OriginStandin(node.number("bytes_per_second", 0, 0, Long.MAX_VALUE));
		List<Runnable> publications = new ArrayList<>();
		for (SettingsNode model : node.list("models")) {
			String service = model.text("service");
			String version = model.text("version");
			long seed = model.number("seed", 1, Long.MIN_VALUE, Long.MAX_VALUE);
			int size = model.integer("size", 1 << 20, 1);
			int chunkSize = model.integer("chunk_size", 1 << 16, 1);
			model.reportUnknownFields();
			publications.add(() -> origin.publish(service, version, seed, size, chunkSize));
		}
		return new StandinPlan(name, port, origin, () -> publications.forEach(Runnable::run));
	}

	private static EngineSettings readEngineSettings(SettingsNode node) {
		EngineSettings defaults = EngineSettings.of(node.text("service"), node.text("failure_domain"));
		return new EngineSettings(defaults.service(), defaults.failureDomain(),
				node.integer("capacity", defaults.capacity(), 1), node.integer("cold_limit", defaults.coldLimit(), 1),
				node.decimal("token_ms", defaults.tokenMillis()),
				node.integer("prefill_ms", defaults.prefillMillis(), 0),
				node.integer("cache_entries", defaults.cacheEntries(), 0),
				node.integer("cold_ms", (int) defaults.coldMillis(), 0),
				node.integer("load_ms", (int) defaults.loadMillis(), 0),
				node.integer("report_lag_ms", (int) defaults.reportLagMillis(), 0),
				node.flag("checks_fence", defaults.checksFence()));
	}

	private static PlainSettings readPlainSettings(SettingsNode node) {
		PlainSettings defaults = PlainSettings.of(node.text("service"), node.text("failure_domain"));
		return new PlainSettings(defaults.service(), defaults.failureDomain(),
				node.integer("time_ms", (int) defaults.requestMillis(), 0),
				node.integer("capacity", defaults.capacity(), 0), node.integer("cold_limit", defaults.coldLimit(), 0),
				node.integer("cold_ms", (int) defaults.coldMillis(), 0));
	}

	private static List<LinkSettings> readLinkSettings(SettingsNode node) {
		List<LinkSettings> links = new ArrayList<>();
		for (SettingsNode pair : node.list("pairs")) {
			links.add(new LinkSettings(pair.text("from"), pair.text("to"),
					pair.number("bytes_per_second", 0, 0, Long.MAX_VALUE), pair.decimal("delay_ms", 0)));
			pair.reportUnknownFields();
		}
		return links;
	}

	/**
	 * Returns a server by the name of its stand-in.
	 * @param name the name
	 * @return the server
	 * @throws IllegalArgumentException when no stand-in has the name
	 */
	public StandinServer server(String name) {
		StandinServer server = this.servers.get(name);
		if (server == null) {
			throw new IllegalArgumentException("no stand-in " + name);
		}
		return server;
	}

	/**
	 * Returns the bound ports by name.
	 * @return an object {@code {"ports": {NAME: PORT}}}
	 */
	public ObjectNode ports() {
		ObjectNode node = JsonBody.object();
		ObjectNode ports = node.putObject("ports");
		this.servers.forEach((name, server) -> ports.put(name, server.port()));
		return node;
	}

	/**
	 * Closes all servers.
	 */
	@Override
	public void close() {
		this.startedServers.forEach(StandinServer::close);
	}

	private record StandinPlan(String name, int port, Standin standin, Runnable afterStart) {

		static StandinPlan of(String name, int port, Standin standin) {
			return new StandinPlan(name, port, standin, () -> {
			});
		}

	}

}
