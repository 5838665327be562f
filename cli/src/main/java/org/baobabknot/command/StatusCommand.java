package org.baobabknot.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionSet;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.protocol.generated.MemberState;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.protocol.generated.StatusValue;

/**
 * Shows the state of all processes of the member list.
 */
final class StatusCommand implements Command {

	private static final String LINE_FORMAT = "%-24s %-6s %-16s %-12s %-12s %9s %8s %-12s %s";

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.putArray("processes");
		List<String> lines = new ArrayList<>();
		lines.add(LINE_FORMAT.formatted("INSTANCE", "ROLE", "DOMAIN", "SERVICE", "STATE", "RUNNING", "REVISION",
				"VERSION", "CONNECTED"));
		int unreachableCount = 0;
		for (FleetClient.MemberStatus memberStatus : context.fleet().statuses(context.fleet().members())) {
			json.withArray("processes").add(json(memberStatus));
			lines.add(line(memberStatus));
			unreachableCount += memberStatus.status().isEmpty() ? 1 : 0;
		}
		json.put("not_answering", unreachableCount);
		return new CommandResult(ExitStatus.OK, json, lines);
	}

	private static String line(FleetClient.MemberStatus memberStatus) {
		Member member = memberStatus.member();
		if (memberStatus.status().isEmpty()) {
			return LINE_FORMAT.formatted(member.getInstance(), role(member), member.getFailureDomain(),
					member.getService(), "no answer", "", "", "", memberStatus.failure());
		}
		StatusValue status = memberStatus.status().get();
		String running = status.hasLoad() ? status.getLoad().getRunning() + "/" + status.getLoad().getLimit() : "";
		return LINE_FORMAT
			.formatted(member.getInstance(), role(member), member.getFailureDomain(), member.getService(),
					state(member, status), running, status.getRulesRevision(), status.getLoad().getVersion(),
					(member.getRole() == Role.ENTRY) ? status.getConnected() + " agents" : "")
			.stripTrailing();
	}

	private static String role(Member member) {
		return (member.getRole() == Role.ENTRY) ? "entry" : "agent";
	}

	/**
	 * Returns the state of a process in one word.
	 * @param member the member
	 * @param status its status
	 * @return the state in lower case
	 */
	static String state(Member member, StatusValue status) {
		if (status.getDraining()) {
			return "draining";
		}
		if (status.hasLoad() && status.getLoad().getAdmission() != Admission.ADMISSION_UNSPECIFIED) {
			return status.getLoad().getAdmission().name().toLowerCase(Locale.ROOT).replace('_', ' ');
		}
		return (member.getState() == MemberState.MEMBER_LEAVING) ? "leaving" : "in service";
	}

	private static ObjectNode json(FleetClient.MemberStatus memberStatus) {
		Member member = memberStatus.member();
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("instance", member.getInstance())
			.put("role", role(member))
			.put("failure_domain", member.getFailureDomain())
			.put("region", member.getRegion())
			.put("service", member.getService())
			.put("answers", memberStatus.status().isPresent());
		memberStatus.status().ifPresent((status) -> {
			node.put("state", state(member, status))
				.put("incarnation", Long.toUnsignedString(status.getIncarnation()))
				.put("rules_revision", status.getRulesRevision())
				.put("members_version", status.getMembersVersion())
				.put("connected", status.getConnected());
			if (status.hasLoad()) {
				node.put("running", status.getLoad().getRunning())
					.put("queued", status.getLoad().getQueued())
					.put("limit", status.getLoad().getLimit())
					.put("version", status.getLoad().getVersion())
					.put("digest", status.getLoad().getDigest());
			}
		});
		return node;
	}

}
