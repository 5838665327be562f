package org.baobabknot.command;

import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.rules.KnownNames;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;

/**
 * Checks a rules file without changing anything. Names are checked against the fleet when
 * a settings file exists and a process responds.
 */
final class CheckCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("offline", "does not ask the fleet for known names");
		parser.nonOptions("the rules file");
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		String file = Arguments.single(options, "FILE");
		String text = CommandContext.readFile(file);
		KnownNames known = (options.has("offline") || !context.hasSettings()) ? KnownNames.none() : knownNames(context);
		RulesResult result = new RulesReader().read(text, known);
		if (result instanceof RulesResult.Rejected rejected) {
			return RulesInput.rejectedResult(file, rejected.errors());
		}
		int rules = ((RulesResult.Accepted) result).rules().rules().size();
		boolean namesChecked = !known.domains().isEmpty();
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("valid", true).put("rules", rules).put("names_checked", namesChecked);
		String names = namesChecked ? "names checked against the fleet" : "names not checked: the fleet was not asked";
		return new CommandResult(ExitStatus.OK, json, List.of(file + ": " + rules + " rules, no faults; " + names));
	}

	private static KnownNames knownNames(CommandContext context) throws CommandFailure {
		try {
			return RulesInput.knownNames(context.fleet().members(),
					RulesInput.parseAccepted(context.rulesStore().read().rules().text()));
		}
		catch (CommandFailure ex) {
			if (ex.status() != ExitStatus.UNREACHABLE) {
				throw ex;
			}
			context.reportProgress("names are not checked: " + ex.getMessage());
			return KnownNames.none();
		}
	}

}
