package org.baobabknot.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.baobabknot.rules.KnownNames;

/**
 * One object of the settings file. Reads typed fields and adds every error to a shared
 * list; an invalid field yields a placeholder, so that one pass finds all errors. Records
 * the names of the fields read, so that {@link #reportUnknownKeys} can report the others.
 */
final class Section {

	private static final int MAX_FOUND_LENGTH = 60;

	private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

	private final JsonNode node;

	private final String path;

	private final Path directory;

	private final List<SettingsError> errors;

	private final Set<String> knownNames = new LinkedHashSet<>();

	Section(JsonNode node, String path, Path directory, List<SettingsError> errors) {
		this.node = node;
		this.path = path;
		this.directory = directory;
		this.errors = errors;
	}

	boolean has(String name) {
		this.knownNames.add(name);
		return this.node.hasNonNull(name);
	}

	Section section(String name, boolean required) {
		JsonNode value = value(name);
		if (!value.isObject() && (required || !value.isMissingNode())) {
			error(name, value, "an object");
		}
		return new Section((value.isObject()) ? value : MissingNode.getInstance(), pathOf(name), this.directory,
				this.errors);
	}

	String name(String name) {
		JsonNode value = value(name);
		if (!value.isTextual() || !NAME_PATTERN.matcher(value.textValue()).matches()) {
			error(name, value, "a name of 1 to 64 letters, digits, dots, dashes or underscores");
			return "";
		}
		return value.textValue();
	}

	String host(String name, String defaultValue) {
		JsonNode value = value(name);
		if (value.isMissingNode() && !defaultValue.isEmpty()) {
			return defaultValue;
		}
		if (!value.isTextual() || value.textValue().isBlank() || value.textValue().contains("/")) {
			error(name, value, "an IP address");
			return "";
		}
		return value.textValue();
	}

	long number(String name, long defaultValue, long min, long max) {
		JsonNode value = value(name);
		if (value.isMissingNode() && defaultValue >= 0) {
			return defaultValue;
		}
		if (!value.isNumber() || !value.canConvertToExactIntegral() || !value.canConvertToLong()
				|| value.longValue() < min || value.longValue() > max) {
			error(name, value, "a whole number from " + min + " to " + max);
			return min;
		}
		return value.longValue();
	}

	int integer(String name, int defaultValue, int min, int max) {
		return (int) number(name, defaultValue, min, max);
	}

	double decimal(String name, double min, double max) {
		JsonNode value = value(name);
		if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
			error(name, value, "a number from " + min + " to " + max);
			return min;
		}
		return value.doubleValue();
	}

	Map<String, String> stringMap(String name) {
		JsonNode value = value(name);
		Map<String, String> strings = new HashMap<>();
		if (!value.isObject()) {
			error(name, value, "an object of strings");
		}
		value.fields().forEachRemaining((field) -> {
			if (!field.getValue().isTextual()) {
				error(name + "." + field.getKey(), field.getValue(), "a string");
			}
			strings.put(field.getKey(), field.getValue().asText());
		});
		return strings;
	}

	boolean flag(String name, boolean defaultValue) {
		JsonNode value = value(name);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			error(name, value, "true or false");
		}
		return value.asBoolean(defaultValue);
	}

	<E extends Enum<E>> E enumValue(String name, Class<E> type) {
		JsonNode value = value(name);
		StringBuilder expectedNames = new StringBuilder();
		for (E constant : type.getEnumConstants()) {
			String constantName = constant.name().toLowerCase(Locale.ROOT);
			if (value.isTextual() && value.textValue().equals(constantName)) {
				return constant;
			}
			expectedNames.append((expectedNames.length() == 0) ? "" : " or ")
				.append('"')
				.append(constantName)
				.append('"');
		}
		error(name, value, expectedNames.toString());
		return type.getEnumConstants()[0];
	}

	URI url(String name) {
		JsonNode value = value(name);
		if (value.isTextual()) {
			try {
				URI url = new URI(value.textValue());
				if ("http".equals(url.getScheme()) && url.getHost() != null) {
					return url;
				}
			}
			catch (URISyntaxException ex) {
				// Reported below, in the same way as a URL of another scheme.
			}
		}
		error(name, value, "a URL such as \"http://192.0.2.1:8500\"");
		return URI.create("http://invalid");
	}

	Path file(String name) {
		JsonNode value = value(name);
		if (value.isTextual() && !value.textValue().isBlank()) {
			Path file = this.directory.resolve(value.textValue());
			if (Files.isReadable(file)) {
				return file;
			}
		}
		error(name, value, "the path of a readable file, relative to the settings file");
		return this.directory;
	}

	void reportUnknownKeys() {
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!this.knownNames.contains(name)) {
				Optional<String> nearest = KnownNames.nearest(name, this.knownNames);
				String hint = nearest.map((nearestName) -> "; did you mean \"" + nearestName + "\"?").orElse("");
				this.errors.add(new SettingsError(pathOf(name), "an unknown key",
						"one of " + String.join(", ", this.knownNames) + hint));
			}
		});
	}

	private JsonNode value(String name) {
		this.knownNames.add(name);
		return this.node.path(name);
	}

	private String pathOf(String name) {
		return (this.path.isEmpty()) ? name : this.path + "." + name;
	}

	private void error(String name, JsonNode value, String expected) {
		String found = (value.isMissingNode()) ? "nothing" : value.toString();
		this.errors.add(new SettingsError(pathOf(name),
				(found.length() <= MAX_FOUND_LENGTH) ? found : found.substring(0, MAX_FOUND_LENGTH) + "...", expected));
	}

}
