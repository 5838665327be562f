package org.baobabknot.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.rules.KnownNames;
import org.baobabknot.rules.RuleSet;
import org.baobabknot.rules.RulesDifference;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;

/**
 * Puts a rules file in force: checks it, writes it by compare-and-swap and pushes the
 * accepted value to the entries.
 */
final class ApplyCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("wait", "waits until the change is in force everywhere");
		parser.accepts("wait-seconds", "longest wait").withRequiredArg().ofType(Integer.class).defaultsTo(15);
		parser.accepts("settle-seconds", "longest time to settle a lost answer of the store")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(10);
		parser.accepts("base", "refuses unless this revision is in force").withRequiredArg().ofType(Long.class);
		parser.accepts("allow-unknown-names", "accepts services and failure domains that the fleet does not have");
		parser.nonOptions("the rules file");
	}

	@Override
	public CommandResult run(OptionSet options, Tool tool) throws CommandFailure {
		String file = Arguments.only(options, "FILE");
		String text = Tool.readFile(file);
		RulesStore store = tool.rules();
		RulesResult syntax = new RulesReader().read(text);
		if (syntax instanceof RulesResult.Rejected rejected) {
			return RulesInput.rejected(file, rejected.errors());
		}
		RulesStore.Versioned current = store.read();
		RuleSet inForce = RulesInput.accepted(current.rules().text());
		RulesResult result = new RulesReader().read(text, known(options, tool, inForce));
		if (result instanceof RulesResult.Rejected rejected) {
			return RulesInput.rejected(file, rejected.errors());
		}
		if (options.has("base") && (Long) options.valueOf("base") != current.rules().revision()) {
			return refused(current.rules(), "revision " + current.rules().revision() + " by " + current.rules().who()
					+ " is in force, not " + options.valueOf("base"));
		}
		if (current.rules().text().equals(text)) {
			return CommandResult.of(ExitStatus.OK, json("unchanged", current.rules()),
					"no change: the file is in force as revision " + current.rules().revision());
		}
		RulesDifference difference = RulesDifference.between(inForce, ((RulesResult.Accepted) result).rules());
		StoredRules next = current.rules()
			.next(UUID.randomUUID().toString(), tool.settings().who(), Instant.now(), text, difference.lines());
		// The timeout of a call bounds an attempt, so the time to settle
		// bounds their number.
		int attempts = Math.max(1, (Integer) options.valueOf("settle-seconds") * 1000 / tool.settings().timeoutMillis())
				+ 1;
		return report(store.write(next, current.version(), attempts), options, tool);
	}

	private static KnownNames known(OptionSet options, Tool tool, RuleSet inForce) throws CommandFailure {
		if (options.has("allow-unknown-names")) {
			return KnownNames.none();
		}
		try {
			return RulesInput.known(tool.fleet().members(), inForce);
		}
		catch (CommandFailure ex) {
			if (ex.status() != ExitStatus.UNREACHABLE) {
				throw ex;
			}
			tool.report("names are not checked: " + ex.getMessage());
			return KnownNames.none();
		}
	}

	private CommandResult report(ChangeOutcome outcome, OptionSet options, Tool tool) throws CommandFailure {
		if (outcome instanceof ChangeOutcome.Accepted accepted) {
			if (accepted.settledByReading()) {
				tool.report("the answer of the store was lost; reading back shows that the change was accepted");
			}
			return accepted(accepted.rules(), options, tool);
		}
		if (outcome instanceof ChangeOutcome.Overtaken overtaken) {
			return refused(overtaken.current(), "revision " + overtaken.current().revision() + " by "
					+ overtaken.current().who() + " came first; compare with diff and apply again");
		}
		if (outcome instanceof ChangeOutcome.NotWritten notWritten) {
			ObjectNode json = JsonNodeFactory.instance.objectNode().put("change", "refused");
			return CommandResult.of(ExitStatus.UNREACHABLE, json.put("reason", notWritten.detail()),
					"nothing was written: " + notWritten.detail());
		}
		ChangeOutcome.Unknown unknown = (ChangeOutcome.Unknown) outcome;
		ObjectNode json = JsonNodeFactory.instance.objectNode().put("change", "unknown");
		json.put("change_id", unknown.changeId()).put("reason", unknown.detail());
		return CommandResult.of(ExitStatus.UNKNOWN, json, "outcome unknown: " + unknown.detail()
				+ "; once the store answers, look for change " + unknown.changeId() + " with: baobabknotctl history");
	}

	private static CommandResult refused(StoredRules current, String reason) {
		return CommandResult.of(ExitStatus.REFUSED, json("refused", current).put("reason", reason),
				"refused: " + reason);
	}

	private static ObjectNode json(String change, StoredRules rules) {
		return JsonNodeFactory.instance.objectNode()
			.put("change", change)
			.put("revision", rules.revision())
			.put("change_id", rules.changeId());
	}

	private static CommandResult accepted(StoredRules rules, OptionSet options, Tool tool) throws CommandFailure {
		ObjectNode json = json("accepted", rules).put("accepted_at_ms", System.currentTimeMillis());
		List<String> lines = new ArrayList<>();
		lines.add("accepted as revision " + rules.revision() + ", change " + rules.changeId());
		int pushed = tool.fleet().push(rules);
		json.put("pushed", pushed);
		lines.add("pushed to " + pushed + " processes");
		if (!options.has("wait")) {
			return new CommandResult(ExitStatus.OK, json, lines);
		}
		return wait(rules, options, tool, json, lines);
	}

	private static CommandResult wait(StoredRules rules, OptionSet options, Tool tool, ObjectNode json,
			List<String> lines) throws CommandFailure {
		InForce inForce = new InForce(tool.fleet(), rules.revision());
		long start = System.nanoTime();
		long end = start + (Integer) options.valueOf("wait-seconds") * 1_000_000_000L;
		List<Member> lagging = inForce.lagging();
		while (!lagging.isEmpty() && System.nanoTime() - end < 0) {
			tool.report(inForce.progress());
			Tool.pause(100);
			lagging = inForce.lagging();
		}
		long millis = (System.nanoTime() - start) / 1_000_000;
		json.put("processes", inForce.processes()).put("in_force", inForce.processes() - lagging.size());
		json.put("wait_ms", millis);
		lagging.forEach((member) -> json.withArray("lagging").add(member.getInstance()));
		if (lagging.isEmpty()) {
			lines.add("in force on all " + inForce.processes() + " processes after " + millis + " ms");
			return new CommandResult(ExitStatus.OK, json, lines);
		}
		lines.add("accepted, but not confirmed after " + millis + " ms by: "
				+ String.join(", ", lagging.stream().map(Member::getInstance).toList()));
		return new CommandResult(ExitStatus.UNREACHABLE, json, lines);
	}

}
