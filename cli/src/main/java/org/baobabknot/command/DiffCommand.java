package org.baobabknot.command;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.rules.RulesDifference;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;

/**
 * Shows the rules that a rules file would add and remove.
 */
final class DiffCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.nonOptions("the rules file");
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		String file = Arguments.single(options, "FILE");
		RulesResult result = new RulesReader().read(CommandContext.readFile(file));
		if (result instanceof RulesResult.Rejected rejected) {
			return RulesInput.rejectedResult(file, rejected.errors());
		}
		StoredRules stored = context.rulesStore().read().rules();
		RulesDifference difference = RulesDifference.between(RulesInput.parseAccepted(stored.text()),
				((RulesResult.Accepted) result).rules());
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		ArrayNode changes = json.put("revision", stored.revision()).putArray("changes");
		difference.lines().forEach(changes::add);
		List<String> lines = difference.isEmpty() ? List.of("no difference to revision " + stored.revision())
				: difference.lines();
		return new CommandResult(ExitStatus.OK, json, lines);
	}

}
