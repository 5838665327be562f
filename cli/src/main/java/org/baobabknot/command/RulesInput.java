package org.baobabknot.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.rules.KnownNames;
import org.baobabknot.rules.RuleError;
import org.baobabknot.rules.RuleSet;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;

/**
 * Parses rule texts and reports their errors.
 */
final class RulesInput {

	private RulesInput() {
	}

	/**
	 * Collects the names that a rule text may use: those of the member list and those of
	 * the rules in force. The latter keep the name of a service valid while its only
	 * target is down.
	 * @param members the member list, empty when no process responds
	 * @param inForce the rules in force
	 * @return the names; none if the member list is empty
	 */
	static KnownNames knownNames(List<Member> members, RuleSet inForce) {
		if (members.isEmpty()) {
			return KnownNames.none();
		}
		Set<String> services = new TreeSet<>(inForce.services());
		Set<String> domains = new TreeSet<>(inForce.domainsOut());
		for (Member member : members) {
			domains.add(member.getFailureDomain());
			if (!member.getService().isEmpty()) {
				services.add(member.getService());
			}
		}
		return new KnownNames(services, inForce.workspaces(), domains);
	}

	/**
	 * Parses rules that were accepted earlier.
	 * @param text the rules in force
	 * @return the rules, empty when this version of the tool cannot parse them
	 */
	static RuleSet parseAccepted(String text) {
		RulesResult result = new RulesReader().read(text);
		return (result instanceof RulesResult.Accepted accepted) ? accepted.rules() : RuleSet.empty();
	}

	/**
	 * Returns the result for a rules file with errors.
	 * @param file the name of the file
	 * @param errors its errors
	 * @return result with one line per error
	 */
	static CommandResult rejectedResult(String file, List<RuleError> errors) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		ArrayNode array = json.put("valid", false).putArray("errors");
		List<String> lines = new ArrayList<>();
		for (RuleError error : errors) {
			lines.add(file + ": " + error.message());
			ObjectNode entry = array.addObject();
			entry.put("line", error.line())
				.put("column", error.column())
				.put("problem", error.problem())
				.put("expected", error.expected());
			error.nearest().ifPresent((name) -> entry.put("nearest", name));
		}
		return new CommandResult(ExitStatus.BAD_RULES, json, lines);
	}

}
