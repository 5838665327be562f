package org.baobabknot.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads and validates a settings file.
 */
public final class SettingsReader {

	private static final int MAX_PORT = 65_535;

	private static final int HOUR_MS = 3_600_000;

	private static final long GIBIBYTE = 1L << 30;

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

	private final List<SettingsError> errors = new ArrayList<>();

	private SettingsReader() {
	}

	/**
	 * Reads a settings file. Paths in it are relative to its directory.
	 * @param file the settings file
	 * @return the settings, or all errors of the file
	 */
	public static SettingsResult read(Path file) {
		JsonNode root;
		try {
			root = MAPPER.readTree(Files.readAllBytes(file));
		}
		catch (JsonProcessingException ex) {
			String location = (ex.getLocation() != null)
					? "line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr()
					: file.toString();
			return rejected(location, ex.getOriginalMessage(), "JSON");
		}
		catch (IOException ex) {
			return rejected(file.toString(), ex.toString(), "a readable file");
		}
		if (!root.isObject()) {
			return rejected("(root)", root.getNodeType().toString().toLowerCase(Locale.ROOT), "an object");
		}
		SettingsReader reader = new SettingsReader();
		Path parent = file.toAbsolutePath().getParent();
		Settings settings = reader.settings(new Section(root, "", parent, reader.errors));
		return (reader.errors.isEmpty()) ? new SettingsResult.Accepted(settings)
				: new SettingsResult.Rejected(reader.errors);
	}

	private static SettingsResult rejected(String path, String found, String expected) {
		return new SettingsResult.Rejected(List.of(new SettingsError(path, found, expected)));
	}

	private Settings settings(Section root) {
		ProcessRole role = root.enumValue("role", ProcessRole.class);
		String instance = root.name("instance");
		String domain = root.name("failureDomain");
		String region = root.name("region");
		boolean entry = role == ProcessRole.ENTRY;
		Settings settings = new Settings(role, instance, domain, region, address(root.section("listen", true)),
				operator(root.section("operator", true)),
				(entry) ? Optional.of(http(root.section("http", true))) : rejectSection(root, "http", "an agent"),
				platform(root.section("platform", true), entry),
				(entry) ? rejectSection(root, "target", "an entry") : Optional.of(target(root.section("target", true))),
				tls(root.section("tls", true)), links(root.section("links", !entry), !entry),
				limits(root.section("limits", false)), timeouts(root.section("timeouts", false)));
		root.reportUnknownKeys();
		return settings;
	}

	private <T> Optional<T> rejectSection(Section root, String name, String role) {
		if (root.has(name)) {
			this.errors.add(new SettingsError(name, "a section", "no such section for " + role));
		}
		return Optional.empty();
	}

	private Settings.Address address(Section section) {
		Settings.Address address = new Settings.Address(section.host("host", ""),
				section.integer("port", -1, 0, MAX_PORT));
		section.reportUnknownKeys();
		return address;
	}

	private Settings.Operator operator(Section section) {
		Settings.Operator operator = new Settings.Operator(section.host("host", ""),
				section.integer("port", -1, 0, MAX_PORT),
				(section.has("tokenFile")) ? Optional.of(section.file("tokenFile")) : Optional.empty());
		section.reportUnknownKeys();
		return operator;
	}

	private Settings.Http http(Section section) {
		Settings.Http http = new Settings.Http(section.host("host", ""), section.integer("port", -1, 0, MAX_PORT),
				section.integer("maxConnections", 2048, 1, 100_000),
				section.integer("maxHeaderBytes", 16 << 10, 1024, 1 << 20),
				section.number("maxBodyBytes", 8 << 20, 1024, GIBIBYTE),
				section.integer("readTimeoutMs", 10_000, 10, HOUR_MS),
				section.integer("writeTimeoutMs", 10_000, 10, HOUR_MS),
				section.integer("idleTimeoutMs", 60_000, 10, HOUR_MS));
		section.reportUnknownKeys();
		return http;
	}

	private Settings.Platform platform(Section section, boolean entry) {
		boolean originRequired = section.has("origin") || !entry;
		Settings.Platform platform = new Settings.Platform(section.url("store"), section.url("members"),
				(originRequired) ? Optional.of(section.url("origin")) : Optional.empty());
		section.reportUnknownKeys();
		return platform;
	}

	private Settings.Target target(Section section) {
		int capacity = section.integer("capacity", -1, 1, 100_000);
		Settings.Target target = new Settings.Target(section.name("service"), section.url("url"),
				section.enumValue("kind", Settings.TargetKind.class),
				section.integer("coldLimit", capacity, 1, 100_000), capacity);
		section.reportUnknownKeys();
		return target;
	}

	private Optional<Settings.Tls> tls(Section section) {
		boolean enabled = section.flag("enabled", true);
		boolean filesConfigured = section.has("certificate") | section.has("key") | section.has("authorities");
		Optional<Settings.Tls> tls = Optional.empty();
		if (enabled || filesConfigured) {
			Settings.Tls files = new Settings.Tls(section.file("certificate"), section.file("key"),
					section.file("authorities"));
			tls = (enabled) ? Optional.of(files) : Optional.empty();
		}
		section.reportUnknownKeys();
		return tls;
	}

	private Settings.Links links(Section section, boolean required) {
		long defaultRate = (required) ? -1 : 0;
		Settings.Links links = new Settings.Links(
				section.number("machineBytesPerSecond", defaultRate, 0, 1000 * GIBIBYTE),
				section.number("regionBytesPerSecond", defaultRate, 0, 1000 * GIBIBYTE));
		section.reportUnknownKeys();
		return links;
	}

	private Settings.Limits limits(Section section) {
		Settings.Limits limits = new Settings.Limits(section.integer("threads", 1, 1, 256),
				section.integer("concurrentRequests", 4096, 1, 1_000_000),
				section.integer("queuedRequests", 256, 1, 1_000_000),
				section.number("weightBytes", GIBIBYTE / 2, 1, 1000 * GIBIBYTE),
				section.integer("recordedRequests", 65_536, 16, 10_000_000),
				section.integer("timelineEvents", 512, 16, 100_000));
		section.reportUnknownKeys();
		return limits;
	}

	private Settings.Timeouts timeouts(Section section) {
		Settings.Timeouts timeouts = new Settings.Timeouts(section.integer("requestMs", 30_000, 1, HOUR_MS),
				section.integer("maxRequestMs", 600_000, 1, HOUR_MS),
				section.integer("balancerLagMs", 5_000, 0, HOUR_MS), section.integer("shutdownMs", 120_000, 0, HOUR_MS),
				section.integer("storeMs", 1_000, 10, 60_000),
				section.integer("recordRetentionMs", 600_000, 1000, 24 * HOUR_MS));
		section.reportUnknownKeys();
		return timeouts;
	}

}
