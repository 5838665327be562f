package org.baobabknot.standin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads one object of the settings and collects every error with its path. Fields that
 * nobody asked for are errors.
 */
final class SettingsNode {

	private final JsonNode node;

	private final String path;

	private final List<String> errors;

	private final Set<String> asked = new HashSet<>();

	SettingsNode(JsonNode node, String path, List<String> errors) {
		this.node = node;
		this.path = path;
		this.errors = errors;
		if (!node.isObject()) {
			errors.add(path + ": expected an object");
		}
	}

	private JsonNode field(String name) {
		this.asked.add(name);
		return this.node.path(name);
	}

	void error(String name, String expected) {
		this.errors.add(this.path + "." + name + ": expected " + expected);
	}

	String text(String name) {
		JsonNode value = field(name);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			error(name, "a text");
			return "";
		}
		return value.textValue();
	}

	String text(String name, String otherwise) {
		return this.node.has(name) ? text(name) : read(name, otherwise);
	}

	private <T> T read(String name, T otherwise) {
		this.asked.add(name);
		return otherwise;
	}

	long number(String name, long otherwise, long least, long most) {
		JsonNode value = field(name);
		if (value.isMissingNode()) {
			return otherwise;
		}
		if (!value.isIntegralNumber() || value.longValue() < least || value.longValue() > most) {
			error(name, "a whole number from " + least + " to " + most);
			return otherwise;
		}
		return value.longValue();
	}

	int small(String name, int otherwise, int least) {
		return (int) number(name, otherwise, least, Integer.MAX_VALUE);
	}

	double decimal(String name, double otherwise) {
		JsonNode value = field(name);
		if (value.isMissingNode()) {
			return otherwise;
		}
		if (!value.isNumber() || value.doubleValue() < 0) {
			error(name, "a number of at least 0");
			return otherwise;
		}
		return value.doubleValue();
	}

	boolean flag(String name, boolean otherwise) {
		JsonNode value = field(name);
		if (!value.isMissingNode() && !value.isBoolean()) {
			error(name, "true or false");
		}
		return value.asBoolean(otherwise);
	}

	List<SettingsNode> list(String name) {
		JsonNode value = field(name);
		List<SettingsNode> nodes = new ArrayList<>();
		if (value.isMissingNode()) {
			return nodes;
		}
		if (!value.isArray()) {
			error(name, "a list");
		}
		for (int index = 0; index < value.size(); index++) {
			nodes.add(new SettingsNode(value.get(index), this.path + "." + name + "[" + index + "]", this.errors));
		}
		return nodes;
	}

	void end() {
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!this.asked.contains(name)) {
				this.errors.add(
						this.path + "." + name + ": unknown, expected one of " + this.asked.stream().sorted().toList());
			}
		});
	}

}
