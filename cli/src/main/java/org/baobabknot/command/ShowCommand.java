package org.baobabknot.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionSet;

/**
 * Shows the rules in the store, which revision each process has adopted and which process
 * lags. With the store down, the highest revision that a process reports counts.
 */
final class ShowCommand implements Command {

	@Override
	public CommandResult run(OptionSet options, Tool tool) throws CommandFailure {
		List<FleetClient.Reply> replies = tool.fleet().statuses(tool.fleet().members());
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		List<String> lines = new ArrayList<>();
		long revision = highest(replies);
		try {
			StoredRules rules = tool.rules().read().rules();
			revision = rules.revision();
			json.put("who", rules.who()).put("when", rules.when()).put("text", rules.text());
			lines.add("revision " + revision + " by " + rules.who() + " at " + rules.when());
			rules.text().lines().forEach((line) -> lines.add("    " + line));
		}
		catch (CommandFailure ex) {
			json.put("store", ex.getMessage());
			lines
				.add("the store does not answer (" + ex.getMessage() + "); highest revision on a process: " + revision);
		}
		json.put("revision", revision);
		byRevision(replies, json, lines);
		lagging(replies, revision, json, lines);
		return new CommandResult(ExitStatus.OK, json, lines);
	}

	private static long highest(List<FleetClient.Reply> replies) {
		return replies.stream()
			.flatMap((reply) -> reply.status().stream())
			.mapToLong((status) -> status.getRulesRevision())
			.max()
			.orElse(0);
	}

	private static void byRevision(List<FleetClient.Reply> replies, ObjectNode json, List<String> lines) {
		Map<Long, Integer> counts = new TreeMap<>();
		replies.forEach((reply) -> reply.status()
			.ifPresent((status) -> counts.merge(status.getRulesRevision(), 1, Integer::sum)));
		ObjectNode processes = json.putObject("processes_by_revision");
		counts.forEach((revision, count) -> {
			processes.put(String.valueOf(revision), count);
			lines.add("revision " + revision + " in force on " + count + " of " + replies.size() + " processes");
		});
	}

	private static void lagging(List<FleetClient.Reply> replies, long revision, ObjectNode json, List<String> lines) {
		json.putArray("lagging");
		for (FleetClient.Reply reply : replies) {
			long adopted = reply.status().map((status) -> status.getRulesRevision()).orElse(-1L);
			if (adopted >= revision) {
				continue;
			}
			json.withArray("lagging").add(reply.member().getInstance());
			lines.add("lags: " + reply.member().getInstance() + " ("
					+ ((adopted >= 0) ? "revision " + adopted : reply.failure()) + ")");
		}
	}

}
