package org.baobabknot.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Rules and their history, as stored under the key {@code baobabknot/rules}.
 *
 * @param revision number of the state, from 1; 0 when no rules were applied yet
 * @param changeId identifies the change that led to this state
 * @param who author of the change
 * @param when time of the change, ISO 8601
 * @param text the rules as written in the rules file
 * @param history the last changes, latest first, including this one
 */
record StoredRules(long revision, String changeId, String who, String when, String text, List<Change> history) {

	/** State of a store without rules. */
	static final StoredRules EMPTY = new StoredRules(0, "", "", "", "", List.of());

	private static final int MAX_CHANGES = 100;

	// Without this limit a first change of several hundred lines would fill the history
	// alone; the store holds at most 1 MB per value.
	private static final int MAX_LINES_PER_CHANGE = 50;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	StoredRules {
		history = List.copyOf(history);
	}

	/**
	 * Returns the state after a change.
	 * @param knownRevision highest revision that is known to be in force; above the one
	 * here if the store was restored from a copy
	 * @param newChangeId unique id of the change
	 * @param author author of the change
	 * @param time time of the change
	 * @param newText the new rules
	 * @param changedLines removed and added rules
	 * @return the state with the next revision, which has not been in force yet
	 */
	StoredRules next(long knownRevision, String newChangeId, String author, Instant time, String newText,
			List<String> changedLines) {
		long nextRevision = Math.max(this.revision, knownRevision) + 1;
		List<String> keptLines = (changedLines.size() <= MAX_LINES_PER_CHANGE) ? changedLines
				: new ArrayList<>(changedLines.subList(0, MAX_LINES_PER_CHANGE));
		if (keptLines != changedLines) {
			keptLines.add("… and " + (changedLines.size() - MAX_LINES_PER_CHANGE) + " more lines");
		}
		List<Change> changes = new ArrayList<>();
		changes.add(new Change(nextRevision, newChangeId, author, time.toString(), keptLines));
		changes.addAll(this.history.subList(0, Math.min(MAX_CHANGES - 1, this.history.size())));
		return new StoredRules(nextRevision, newChangeId, author, time.toString(), newText, changes);
	}

	/**
	 * Whether a change has taken effect, also if other changes followed.
	 * @param id the id of the change
	 * @return true when this state or its history contains the change
	 */
	boolean contains(String id) {
		return this.changeId.equals(id) || this.history.stream().anyMatch((change) -> change.changeId().equals(id));
	}

	/**
	 * Parses the JSON form.
	 * @param value the bytes in the store
	 * @return the state
	 * @throws CommandFailure when the value is malformed
	 */
	static StoredRules parse(byte[] value) throws CommandFailure {
		try {
			JsonNode node = MAPPER.readTree(value);
			List<Change> changes = new ArrayList<>();
			node.path("history").forEach((entry) -> changes.add(Change.read(entry)));
			return new StoredRules(node.path("revision").asLong(), node.path("change_id").asText(),
					node.path("who").asText(), node.path("when").asText(), node.path("text").asText(), changes);
		}
		catch (IOException ex) {
			throw new CommandFailure(ExitStatus.REFUSED, "the value in the store is no rule set: " + ex.getMessage());
		}
	}

	/**
	 * Returns the JSON form.
	 * @return the bytes to store
	 */
	byte[] toBytes() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("revision", this.revision)
			.put("change_id", this.changeId)
			.put("who", this.who)
			.put("when", this.when)
			.put("text", this.text);
		ArrayNode changes = node.putArray("history");
		this.history.forEach((change) -> changes.add(change.toJson()));
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * One change of the rules.
	 *
	 * @param revision revision that resulted from the change
	 * @param changeId id of the change
	 * @param who author of the change
	 * @param when time of the change, ISO 8601
	 * @param lines removed and added rules
	 */
	record Change(long revision, String changeId, String who, String when, List<String> lines) {

		Change {
			lines = List.copyOf(lines);
		}

		private static Change read(JsonNode node) {
			List<String> lines = new ArrayList<>();
			node.path("changes").forEach((line) -> lines.add(line.asText()));
			return new Change(node.path("revision").asLong(), node.path("change_id").asText(),
					node.path("who").asText(), node.path("when").asText(), lines);
		}

		ObjectNode toJson() {
			ObjectNode node = JsonNodeFactory.instance.objectNode();
			node.put("revision", this.revision)
				.put("change_id", this.changeId)
				.put("who", this.who)
				.put("when", this.when);
			ArrayNode array = node.putArray("changes");
			this.lines.forEach(array::add);
			return node;
		}

	}

}
