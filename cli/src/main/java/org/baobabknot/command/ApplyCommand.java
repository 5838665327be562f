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
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		String file = Arguments.single(options, "FILE");
		String text = CommandContext.readFile(file);
		RulesStore store = context.rulesStore();
		RulesResult syntaxResult = new RulesReader().read(text);
		if (syntaxResult instanceof RulesResult.Rejected rejected) {
			return RulesInput.rejectedResult(file, rejected.errors());
		}
		RulesStore.VersionedRules current = store.read();
		RuleSet inForce = RulesInput.parseAccepted(current.rules().text());
		RulesResult result = new RulesReader().read(text, knownNames(options, context, inForce));
		if (result instanceof RulesResult.Rejected rejected) {
			return RulesInput.rejectedResult(file, rejected.errors());
		}
		if (options.has("base") && (Long) options.valueOf("base") != current.rules().revision()) {
			return refusedResult(current.rules(), "revision " + current.rules().revision() + " by "
					+ current.rules().who() + " is in force, not " + options.valueOf("base"));
		}
		long inForceRevision = highestRevisionInForce(context, current.rules());
		if (current.rules().text().equals(text) && inForceRevision == current.rules().revision()) {
			return CommandResult.of(ExitStatus.OK, changeJson("unchanged", current.rules()),
					"no change: the file is in force as revision " + current.rules().revision());
		}
		RulesDifference difference = RulesDifference.between(inForce, ((RulesResult.Accepted) result).rules());
		StoredRules next = current.rules()
			.next(inForceRevision, UUID.randomUUID().toString(), context.settings().who(), Instant.now(), text,
					difference.lines());
		// Each attempt takes at most the timeout of a call, so the number of attempts
		// limits the total time.
		int attempts = Math.max(1,
				(Integer) options.valueOf("settle-seconds") * 1000 / context.settings().timeoutMillis()) + 1;
		return toResult(store.write(next, current.version(), attempts), options, context);
	}

	// Processes never take a revision twice, so a store that was restored from a copy
	// must not give out again what is in force.
	private static long highestRevisionInForce(CommandContext context, StoredRules stored) throws CommandFailure {
		long inForce = context.fleet().highestRevision().orElse(stored.revision());
		if (inForce > stored.revision()) {
			context.reportProgress("revision " + inForce + " is in force, but the store has only " + stored.revision()
					+ ": it may have been restored from a copy; the change gets revision " + (inForce + 1));
		}
		return Math.max(inForce, stored.revision());
	}

	private static KnownNames knownNames(OptionSet options, CommandContext context, RuleSet inForce)
			throws CommandFailure {
		if (options.has("allow-unknown-names")) {
			return KnownNames.none();
		}
		try {
			return RulesInput.knownNames(context.fleet().members(), inForce);
		}
		catch (CommandFailure ex) {
			if (ex.status() != ExitStatus.UNREACHABLE) {
				throw ex;
			}
			context.reportProgress("names are not checked: " + ex.getMessage());
			return KnownNames.none();
		}
	}

	private CommandResult toResult(ChangeOutcome outcome, OptionSet options, CommandContext context)
			throws CommandFailure {
		if (outcome instanceof ChangeOutcome.Accepted accepted) {
			if (accepted.confirmedByRead()) {
				context.reportProgress(
						"the answer of the store was lost; reading back shows that the change was accepted");
			}
			return pushAccepted(accepted.rules(), options, context);
		}
		if (outcome instanceof ChangeOutcome.Conflict overtaken) {
			return refusedResult(overtaken.current(), "revision " + overtaken.current().revision() + " by "
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

	private static CommandResult refusedResult(StoredRules current, String reason) {
		return CommandResult.of(ExitStatus.REFUSED, changeJson("refused", current).put("reason", reason),
				"refused: " + reason);
	}

	private static ObjectNode changeJson(String change, StoredRules rules) {
		return JsonNodeFactory.instance.objectNode()
			.put("change", change)
			.put("revision", rules.revision())
			.put("change_id", rules.changeId());
	}

	private static CommandResult pushAccepted(StoredRules rules, OptionSet options, CommandContext context)
			throws CommandFailure {
		ObjectNode json = changeJson("accepted", rules).put("accepted_at_ms", System.currentTimeMillis());
		List<String> lines = new ArrayList<>();
		lines.add("accepted as revision " + rules.revision() + ", change " + rules.changeId());
		int pushed = context.fleet().push(rules);
		json.put("pushed", pushed);
		lines.add("pushed to " + pushed + " processes");
		if (!options.has("wait")) {
			return new CommandResult(ExitStatus.OK, json, lines);
		}
		return waitUntilInForce(rules, options, context, json, lines);
	}

	private static CommandResult waitUntilInForce(StoredRules rules, OptionSet options, CommandContext context,
			ObjectNode json, List<String> lines) throws CommandFailure {
		AdoptionMonitor adoption = new AdoptionMonitor(context.fleet(), rules.revision());
		long startNanos = System.nanoTime();
		long deadlineNanos = startNanos + (Integer) options.valueOf("wait-seconds") * 1_000_000_000L;
		List<Member> lagging = adoption.findLagging();
		while (!lagging.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
			context.reportProgress(adoption.progress());
			CommandContext.sleep(100);
			lagging = adoption.findLagging();
		}
		long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
		json.put("processes", adoption.processCount()).put("in_force", adoption.processCount() - lagging.size());
		json.put("wait_ms", elapsedMs);
		lagging.forEach((member) -> json.withArray("lagging").add(member.getInstance()));
		if (lagging.isEmpty()) {
			lines.add("in force on all " + adoption.processCount() + " processes after " + elapsedMs + " ms");
			return new CommandResult(ExitStatus.OK, json, lines);
		}
		lines.add("accepted, but not confirmed after " + elapsedMs + " ms by: "
				+ String.join(", ", lagging.stream().map(Member::getInstance).toList()));
		return new CommandResult(ExitStatus.UNREACHABLE, json, lines);
	}

}
