package org.baobabknot.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.fleet.StoreRates;

/**
 * Reads and validates the settings of a process on the users' platform.
 */
public final class FleetSettingsReader {

	private static final long HOUR_MS = 3_600_000;

	private static final int MAX_PORT = 65_535;

	private final List<SettingsError> errors = new ArrayList<>();

	private FleetSettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param file the settings file
	 * @return the settings, or all errors of the file
	 */
	public static Result read(Path file) {
		try {
			JsonNode root = new ObjectMapper().readTree(Files.readAllBytes(file));
			if (root == null || !root.isObject()) {
				return rejected("(root)", "no object", "an object");
			}
			FleetSettingsReader reader = new FleetSettingsReader();
			FleetSettings settings = reader.settings(new Section(root, "", file.toAbsolutePath(), reader.errors));
			return (reader.errors.isEmpty()) ? new Result.Accepted(settings) : new Result.Rejected(reader.errors);
		}
		catch (JsonProcessingException ex) {
			return rejected("line " + ex.getLocation().getLineNr(), ex.getOriginalMessage(), "JSON");
		}
		catch (IOException ex) {
			return rejected(file.toString(), ex.toString(), "a readable file");
		}
	}

	private static Result rejected(String path, String found, String expected) {
		return new Result.Rejected(List.of(new SettingsError(path, found, expected)));
	}

	private FleetSettings settings(Section root) {
		FleetSettings.FleetRole role = root.enumValue("role", FleetSettings.FleetRole.class);
		boolean gateway = role == FleetSettings.FleetRole.GATEWAY;
		FleetSettings settings = new FleetSettings(role, root.name("instance"), root.name("failureDomain"),
				root.name("region"), root.stringMap("domains"), root.host("host", ""),
				(gateway) ? Optional.of(address(root, "callers")) : Optional.empty(),
				(gateway) ? Optional.of(address(root, "readiness")) : Optional.empty(), address(root, "store"),
				storeRates(root.section("storeRates", false)),
				(gateway) ? Optional.empty() : Optional.of(engine(root.section("engine", true))),
				root.integer("peerPort", -1, 1, MAX_PORT), root.integer("metricsPort", -1, 1, MAX_PORT),
				bounds(root.section("bounds", true)), resources(root.section("resources", true)));
		root.reportUnknownKeys();
		return settings;
	}

	private StoreRates storeRates(Section section) {
		StoreRates rates = new StoreRates(section.integer("writesPerSecond", 0, 0, Integer.MAX_VALUE),
				section.integer("readsPerSecond", 0, 0, Integer.MAX_VALUE));
		section.reportUnknownKeys();
		return rates;
	}

	private FleetSettings.LocalEngine engine(Section section) {
		FleetSettings.LocalEngine engine = new FleetSettings.LocalEngine(address(section, "address"),
				section.name("service"));
		section.reportUnknownKeys();
		return engine;
	}

	private FleetSettings.Bounds bounds(Section section) {
		FleetSettings.Bounds bounds = new FleetSettings.Bounds(section.number("configurationMs", -1, 1, HOUR_MS),
				section.number("keyMs", -1, 1, HOUR_MS), section.number("versionMs", -1, 1, HOUR_MS),
				section.number("shutdownMs", -1, 1, HOUR_MS), section.decimal("retryRatio", 0, 10),
				section.number("retryWindowMs", -1, 1, HOUR_MS), section.decimal("retryMinimum", 0, 1e9),
				section.decimal("coldOvershoot", 1, 100), section.decimal("coldSlack", 0, 1e6),
				section.number("heartbeatMs", -1, 1, HOUR_MS));
		section.reportUnknownKeys();
		return bounds;
	}

	private FleetSettings.Resources resources(Section section) {
		FleetSettings.Resources resources = new FleetSettings.Resources(
				section.integer("descriptors", -1, 64, Integer.MAX_VALUE),
				(long) (section.decimal("linkMegabitsPerSecond", 0.001, 1e6) * 1e6 / Byte.SIZE));
		section.reportUnknownKeys();
		return resources;
	}

	private FleetSettings.HostPort address(Section section, String name) {
		String text = section.host(name, "");
		int colon = text.lastIndexOf(':');
		try {
			return new FleetSettings.HostPort(text.substring(0, Math.max(0, colon)),
					Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			this.errors.add(new SettingsError(name, text.toLowerCase(Locale.ROOT), "IP:PORT"));
			return new FleetSettings.HostPort("", 0);
		}
	}

	/**
	 * Result of reading a file.
	 */
	public sealed interface Result {

		/**
		 * The file is valid.
		 *
		 * @param settings the settings
		 */
		record Accepted(FleetSettings settings) implements Result {
		}

		/**
		 * The file has errors.
		 *
		 * @param errors all errors found
		 */
		record Rejected(List<SettingsError> errors) implements Result {
		}

	}

}
