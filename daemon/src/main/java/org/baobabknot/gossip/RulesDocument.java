package org.baobabknot.gossip;

import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.configuration.Revision;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;

/**
 * Reads the JSON document of a rule set, which the store keeps and processes send to each
 * other.
 */
final class RulesDocument {

	/** Key of the rule set in the store. */
	static final String KEY = "baobabknot/rules";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private RulesDocument() {
	}

	/**
	 * Reads a document. If the rules contain an error, the whole document is refused, so
	 * that no process runs with a part of the rules.
	 * @param value bytes of the document
	 * @return the revision, empty if the document is not valid
	 */
	static Optional<Revision> read(byte[] value) {
		try {
			JsonNode root = MAPPER.readTree(value);
			long revision = root.path("revision").asLong(0);
			String text = root.path("text").asText("");
			if (revision <= 0) {
				return Optional.empty();
			}
			RulesResult rules = new RulesReader().read(text);
			if (!(rules instanceof RulesResult.Accepted accepted)) {
				return Optional.empty();
			}
			return Optional.of(new Revision(revision, root.path("change_id").asText(""), root.path("who").asText(""),
					parseTime(root.path("when").asText("")), text, accepted.rules()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static Instant parseTime(String text) {
		try {
			return Instant.parse(text);
		}
		catch (DateTimeException ex) {
			return Instant.EPOCH;
		}
	}

}
