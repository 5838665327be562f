package org.baobabknot.load;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.standin.engine.CompletionText;

/**
 * Checks a response of an engine stand-in against the expected text. The text depends on
 * the prompt and on the bytes of the model, so a response to another request, with
 * missing events, or from the weights of another version than its header names is
 * detected as wrong.
 */
final class CompletionCheck implements ResponseCheck {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String END_EVENT = "data: [DONE]";

	private final Map<String, String> digestsByVersion;

	private final String prompt;

	private final int tokens;

	private final boolean stream;

	/**
	 * Creates a check.
	 * @param digestsByVersion digests of the complete model by version; may grow during
	 * the run
	 * @param prompt the prompt of the request
	 * @param tokens the number of tokens requested
	 * @param stream whether the response is a stream of events
	 */
	CompletionCheck(Map<String, String> digestsByVersion, String prompt, int tokens, boolean stream) {
		this.digestsByVersion = digestsByVersion;
		this.prompt = prompt;
		this.tokens = tokens;
		this.stream = stream;
	}

	@Override
	public Optional<String> findError(LoadResponse response) {
		String version = response.header("X-Model-Version");
		String digest = this.digestsByVersion.get(version);
		if (digest == null) {
			return Optional.of("unknown version \"" + version + "\"");
		}
		String expected = CompletionText.generate(digest, this.prompt, this.tokens);
		try {
			String actual = this.stream ? textOfEvents(response.text())
					: MAPPER.readTree(response.body()).path("text").asText();
			return actual.equals(expected) ? Optional.empty()
					: Optional.of("text differs from that of version " + version + ": " + abbreviate(actual));
		}
		catch (IOException ex) {
			return Optional.of("malformed: " + ex.getMessage());
		}
	}

	private static String textOfEvents(String body) throws IOException {
		StringBuilder text = new StringBuilder();
		boolean ended = false;
		for (String line : body.split("\n")) {
			if (line.equals(END_EVENT)) {
				ended = true;
			}
			else if (line.startsWith("data: ")) {
				JsonNode event = MAPPER.readTree(line.substring("data: ".length()));
				text.append(event.path("token").asText());
			}
		}
		return ended ? text.toString() : text + "(no end event)";
	}

	private static String abbreviate(String text) {
		return text.substring(0, Math.min(40, text.length()));
	}

}
