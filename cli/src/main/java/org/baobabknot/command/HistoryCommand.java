package org.baobabknot.command;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Lists the last changes of the rules, latest first.
 */
final class HistoryCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("limit", "number of changes").withRequiredArg().ofType(Integer.class).defaultsTo(20);
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		StoredRules rules = context.rulesStore().read().rules();
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		ArrayNode changes = json.put("revision", rules.revision()).putArray("history");
		List<String> lines = new ArrayList<>();
		int limit = Math.min((Integer) options.valueOf("limit"), rules.history().size());
		for (StoredRules.Change change : rules.history().subList(0, Math.max(0, limit))) {
			changes.add(change.toJson());
			lines.add("revision " + change.revision() + "  " + change.when() + "  " + change.who() + "  change "
					+ change.changeId());
			change.lines().forEach((line) -> lines.add("    " + line));
		}
		if (lines.isEmpty()) {
			lines.add("no changes yet");
		}
		return new CommandResult(ExitStatus.OK, json, lines);
	}

}
