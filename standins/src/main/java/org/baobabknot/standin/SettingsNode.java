package org.baobabknot.standin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads one JSON object of the settings and collects all errors with their paths. Fields
 * that are never read are reported as unknown.
 */
final class SettingsNode {

	private final JsonNode node;

	private final String path;

	private final List<String> errors;

	private final Set<String> readFields = new HashSet<>();

	SettingsNode(JsonNode node, String path, List<String> errors) {
		this.node = node;
		this.path = path;
		this.errors = errors;
		if (!node.isObject()) {
			errors.add(path + ": expected an object");
		}
	}

	private JsonNode field(String name) {
		this.readFields.add(name);
		return this.node.path(name);
	}

	void addError(String name, String expected) {
		this.errors.add(this.path + "." + name + ": expected " + expected);
	}

	String text(String name) {
		JsonNode value = field(name);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			addError(name, "a text");
			return "";
		}
		return value.textValue();
	}

	String text(String name, String defaultValue) {
		return this.node.has(name) ? text(name) : markAsRead(name, defaultValue);
	}

	private <T> T markAsRead(String name, T defaultValue) {
		this.readFields.add(name);
		return defaultValue;
	}

	long number(String name, long defaultValue, long minimum, long maximum) {
		JsonNode value = field(name);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isIntegralNumber() || value.longValue() < minimum || value.longValue() > maximum) {
			addError(name, "a whole number from " + minimum + " to " + maximum);
			return defaultValue;
		}
		return value.longValue();
	}

	int integer(String name, int defaultValue, int minimum) {
		return (int) number(name, defaultValue, minimum, Integer.MAX_VALUE);
	}

	double decimal(String name, double defaultValue) {
		JsonNode value = field(name);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isNumber() || value.doubleValue() < 0) {
			addError(name, "a number of at least 0");
			return defaultValue;
		}
		return value.doubleValue();
	}

	boolean flag(String name, boolean defaultValue) {
		JsonNode value = field(name);
		if (!value.isMissingNode() && !value.isBoolean()) {
			addError(name, "true or false");
		}
		return value.asBoolean(defaultValue);
	}

	List<SettingsNode> list(String name) {
		JsonNode value = field(name);
		List<SettingsNode> nodes = new ArrayList<>();
		if (value.isMissingNode()) {
			return nodes;
		}
		if (!value.isArray()) {
			addError(name, "a list");
		}
		for (int index = 0; index < value.size(); index++) {
			nodes.add(new SettingsNode(value.get(index), this.path + "." + name + "[" + index + "]", this.errors));
		}
		return nodes;
	}

	void reportUnknownFields() {
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!this.readFields.contains(name)) {
				this.errors.add(this.path + "." + name + ": unknown, expected one of "
						+ this.readFields.stream().sorted().toList());
			}
		});
	}

}
