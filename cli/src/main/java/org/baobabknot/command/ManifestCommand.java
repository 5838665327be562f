package org.baobabknot.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.origin.ManifestResult;
import org.baobabknot.weights.Manifest;

/**
 * Prints the manifest digest of a published version as a rule.
 */
final class ManifestCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.nonOptions("the service and the version");
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		List<String> arguments = Arguments.all(options);
		if (arguments.size() != 2) {
			throw new CommandFailure(ExitStatus.USAGE, "expected SERVICE and VERSION");
		}
		ManifestResult result = CommandContext.await(context.origin().manifest(arguments.get(0), arguments.get(1)));
		if (result instanceof ManifestResult.Absent) {
			throw new CommandFailure(ExitStatus.REFUSED,
					"the origin has no version " + arguments.get(1) + " of " + arguments.get(0));
		}
		if (result instanceof ManifestResult.Failed failed) {
			throw new CommandFailure(ExitStatus.UNREACHABLE, "origin " + failed.failure());
		}
		return describe(parse(((ManifestResult.Fetched) result).json()));
	}

	private static CommandResult describe(Manifest manifest) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("service", manifest.service())
			.put("version", manifest.version())
			.put("digest", manifest.digest())
			.put("size", manifest.size())
			.put("chunks", manifest.chunkCount());
		String rule = "model " + manifest.service() + " " + manifest.version() + " sha256:" + manifest.digest();
		return CommandResult.of(ExitStatus.OK, json.put("rule", rule), rule);
	}

	private static Manifest parse(byte[] published) throws CommandFailure {
		try {
			JsonNode node = new ObjectMapper().readTree(published);
			List<String> chunks = new ArrayList<>();
			node.path("chunk_digests").forEach((digest) -> chunks.add(digest.asText()));
			return new Manifest(node.path("service").asText(), node.path("version").asText(),
					node.path("size").asLong(), node.path("chunk_size").asInt(), chunks,
					node.path("whole_digest").asText());
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CommandFailure(ExitStatus.REFUSED, "the origin's manifest is malformed: " + ex.getMessage());
		}
	}

}
