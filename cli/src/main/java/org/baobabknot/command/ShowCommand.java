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
 * lags. While the store is down, the highest revision that a process reports is used
 * instead.
 */
final class ShowCommand implements Command {

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		List<FleetClient.MemberStatus> memberStatuses = context.fleet().statuses(context.fleet().members());
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		List<String> lines = new ArrayList<>();
		long revision = highestRevision(memberStatuses);
		try {
			StoredRules rules = context.rulesStore().read().rules();
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
		addProcessesByRevision(memberStatuses, json, lines);
		addLagging(memberStatuses, revision, json, lines);
		return new CommandResult(ExitStatus.OK, json, lines);
	}

	private static long highestRevision(List<FleetClient.MemberStatus> memberStatuses) {
		return memberStatuses.stream()
			.flatMap((reply) -> reply.status().stream())
			.mapToLong((status) -> status.getRulesRevision())
			.max()
			.orElse(0);
	}

	private static void addProcessesByRevision(List<FleetClient.MemberStatus> memberStatuses, ObjectNode json,
			List<String> lines) {
		Map<Long, Integer> counts = new TreeMap<>();
		memberStatuses.forEach((reply) -> reply.status()
			.ifPresent((status) -> counts.merge(status.getRulesRevision(), 1, Integer::sum)));
		ObjectNode processes = json.putObject("processes_by_revision");
		counts.forEach((revision, count) -> {
			processes.put(String.valueOf(revision), count);
			lines.add("revision " + revision + " in force on " + count + " of " + memberStatuses.size() + " processes");
		});
	}

	private static void addLagging(List<FleetClient.MemberStatus> memberStatuses, long revision, ObjectNode json,
			List<String> lines) {
		json.putArray("lagging");
		for (FleetClient.MemberStatus memberStatus : memberStatuses) {
			long adoptedRevision = memberStatus.status().map((status) -> status.getRulesRevision()).orElse(-1L);
			if (adoptedRevision >= revision) {
				continue;
			}
			json.withArray("lagging").add(memberStatus.member().getInstance());
			lines.add("lags: " + memberStatus.member().getInstance() + " ("
					+ ((adoptedRevision >= 0) ? "revision " + adoptedRevision : memberStatus.failure()) + ")");
		}
	}

}
