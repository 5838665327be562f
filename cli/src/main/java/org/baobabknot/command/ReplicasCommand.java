package org.baobabknot.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.protocol.generated.StatusValue;

/**
 * Shows the replicas of each service by version and the progress of the distribution of a
 * new version.
 */
final class ReplicasCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("wait", "waits until every replica runs the version that the rules ask for");
		parser.accepts("wait-seconds", "longest wait").withRequiredArg().ofType(Integer.class).defaultsTo(300);
		parser.nonOptions("a service; all without one");
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		List<String> services = Arguments.all(options);
		long deadlineNanos = System.nanoTime() + (Integer) options.valueOf("wait-seconds") * 1_000_000_000L;
		ReplicaSnapshot snapshot = snapshot(services, context);
		while (options.has("wait") && !snapshot.isDone() && System.nanoTime() - deadlineNanos < 0) {
			context.reportProgress(snapshot.progress());
			CommandContext.sleep(500);
			snapshot = snapshot(services, context);
		}
		return snapshot.toResult(options.has("wait"));
	}

	private static ReplicaSnapshot snapshot(List<String> services, CommandContext context) throws CommandFailure {
		List<Member> agents = context.fleet()
			.members()
			.stream()
			.filter((member) -> member.getRole() == Role.AGENT)
			.filter((member) -> services.isEmpty() || services.contains(member.getService()))
			.sorted(Comparator.comparing(Member::getService).thenComparing(Member::getInstance))
			.toList();
		return new ReplicaSnapshot(context.fleet().statuses(agents));
	}

	/**
	 * Status of the replicas at one time.
	 *
	 * @param memberStatuses the status of each replica
	 */
	private record ReplicaSnapshot(List<FleetClient.MemberStatus> memberStatuses) {

		boolean isDone() {
			return this.memberStatuses.stream().allMatch(ReplicaSnapshot::isDone);
		}

		private static boolean isDone(FleetClient.MemberStatus memberStatus) {
			return memberStatus.status()
				.filter((status) -> status.getWantedVersion().isEmpty()
						|| status.getWantedVersion().equals(status.getLoad().getVersion()))
				.isPresent();
		}

		String progress() {
			long doneCount = this.memberStatuses.stream().filter(ReplicaSnapshot::isDone).count();
			double heldPermille = this.memberStatuses.stream()
				.flatMap((reply) -> reply.status().stream())
				.filter((status) -> !status.getWantedVersion().isEmpty())
				.mapToInt(StatusValue::getChunksHeldPermille)
				.average()
				.orElse(1000);
			return "%d of %d replicas run the wanted version; %.1f %% of its bytes have arrived on average"
				.formatted(doneCount, this.memberStatuses.size(), heldPermille / 10);
		}

		CommandResult toResult(boolean waited) {
			ObjectNode json = JsonNodeFactory.instance.objectNode();
			List<String> lines = new ArrayList<>();
			Map<String, Map<String, Integer>> versions = new LinkedHashMap<>();
			json.putObject("services");
			json.putArray("replicas");
			for (FleetClient.MemberStatus memberStatus : this.memberStatuses) {
				String version = memberStatus.status()
					.map((status) -> status.getLoad().getVersion())
					.orElse("no answer");
				versions.computeIfAbsent(memberStatus.member().getService(), (key) -> new TreeMap<>())
					.merge(version.isEmpty() ? "none" : version, 1, Integer::sum);
				json.withArray("replicas").add(json(memberStatus));
			}
			versions.forEach((service, counts) -> {
				ObjectNode node = json.with("services").putObject(service);
				counts.forEach(node::put);
				counts.forEach((version, count) -> lines.add("%-16s %-16s %d".formatted(service, version, count)));
			});
			this.memberStatuses.stream()
				.filter((memberStatus) -> !isDone(memberStatus))
				.forEach((memberStatus) -> lines.add(describePending(memberStatus)));
			json.put("done", isDone());
			return new CommandResult((waited && !isDone()) ? ExitStatus.UNREACHABLE : ExitStatus.OK, json, lines);
		}

		private static String describePending(FleetClient.MemberStatus memberStatus) {
			return memberStatus.status()
				.map((status) -> "%s: wants %s, holds %.1f %% of it, %s".formatted(memberStatus.member().getInstance(),
						status.getWantedVersion(), status.getChunksHeldPermille() / 10.0, status.getRolloutPhase()))
				.orElseGet(() -> memberStatus.member().getInstance() + ": " + memberStatus.failure());
		}

		private static ObjectNode json(FleetClient.MemberStatus memberStatus) {
			ObjectNode node = JsonNodeFactory.instance.objectNode();
			node.put("instance", memberStatus.member().getInstance())
				.put("service", memberStatus.member().getService());
			memberStatus.status()
				.ifPresent((status) -> node.put("version", status.getLoad().getVersion())
					.put("digest", status.getLoad().getDigest())
					.put("wanted_version", status.getWantedVersion())
					.put("chunks_held_permille", status.getChunksHeldPermille())
					.put("phase", status.getRolloutPhase()));
			return node;
		}

	}

}
