package org.baobabknot.load;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.standin.engine.CompletionText;

/**
 * Checks an answer of an engine stand-in against its known right text. The text depends
 * on the prompt and on the bytes of the model, so an answer to another request, with
 * missing events or from other weights than the version it names, is wrong.
 */
final class CompletionCheck implements AnswerCheck {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DONE = "data: [DONE]";

	private final Map<String, String> digests;

	private final String prompt;

	private final int tokens;

	private final boolean stream;

	/**
	 * Creates a check.
	 * @param digests digests of the whole bytes by version; may grow during the run
	 * @param prompt the prompt of the request
	 * @param tokens the number of tokens asked for
	 * @param stream whether the answer is a stream of events
	 */
	CompletionCheck(Map<String, String> digests, String prompt, int tokens, boolean stream) {
		this.digests = digests;
		this.prompt = prompt;
		this.tokens = tokens;
		this.stream = stream;
	}

	@Override
	public Optional<String> fault(Answer answer) {
		String version = answer.header("X-Model-Version");
		String digest = this.digests.get(version);
		if (digest == null) {
			return Optional.of("unknown version \"" + version + "\"");
		}
		String expected = CompletionText.generate(digest, this.prompt, this.tokens);
		try {
			String found = this.stream ? streamed(answer.text()) : MAPPER.readTree(answer.body()).path("text").asText();
			return found.equals(expected) ? Optional.empty()
					: Optional.of("text differs from that of version " + version + ": " + shortened(found));
		}
		catch (IOException ex) {
			return Optional.of("malformed: " + ex.getMessage());
		}
	}

	private static String streamed(String body) throws IOException {
		StringBuilder text = new StringBuilder();
		boolean done = false;
		for (String line : body.split("\n")) {
			if (line.equals(DONE)) {
				done = true;
			}
			else if (line.startsWith("data: ")) {
				JsonNode event = MAPPER.readTree(line.substring("data: ".length()));
				text.append(event.path("token").asText());
			}
		}
		return done ? text.toString() : text + "(no end event)";
	}

	private static String shortened(String text) {
		return text.substring(0, Math.min(40, text.length()));
	}

}
