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
 * Shows the replicas of each service by version, and how far a new model has spread.
 */
final class ReplicasCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("wait", "waits until every replica runs the version that the rules ask for");
		parser.accepts("wait-seconds", "longest wait").withRequiredArg().ofType(Integer.class).defaultsTo(300);
		parser.nonOptions("a service; all without one");
	}

	@Override
	public CommandResult run(OptionSet options, Tool tool) throws CommandFailure {
		List<String> services = Arguments.all(options);
		long end = System.nanoTime() + (Integer) options.valueOf("wait-seconds") * 1_000_000_000L;
		Overview overview = overview(services, tool);
		while (options.has("wait") && !overview.done() && System.nanoTime() - end < 0) {
			tool.report(overview.progress());
			Tool.pause(500);
			overview = overview(services, tool);
		}
		return overview.result(options.has("wait"));
	}

	private static Overview overview(List<String> services, Tool tool) throws CommandFailure {
		List<Member> agents = tool.fleet()
			.members()
			.stream()
			.filter((member) -> member.getRole() == Role.AGENT)
			.filter((member) -> services.isEmpty() || services.contains(member.getService()))
			.sorted(Comparator.comparing(Member::getService).thenComparing(Member::getInstance))
			.toList();
		return new Overview(tool.fleet().statuses(agents));
	}

	/**
	 * State of the replicas at one time.
	 *
	 * @param replies the status of each replica
	 */
	private record Overview(List<FleetClient.Reply> replies) {

		boolean done() {
			return this.replies.stream().allMatch(Overview::done);
		}

		private static boolean done(FleetClient.Reply reply) {
			return reply.status()
				.filter((status) -> status.getWantedVersion().isEmpty()
						|| status.getWantedVersion().equals(status.getLoad().getVersion()))
				.isPresent();
		}

		String progress() {
			long finished = this.replies.stream().filter(Overview::done).count();
			double held = this.replies.stream()
				.flatMap((reply) -> reply.status().stream())
				.filter((status) -> !status.getWantedVersion().isEmpty())
				.mapToInt(StatusValue::getChunksHeldPermille)
				.average()
				.orElse(1000);
			return "%d of %d replicas run the wanted version; %.1f %% of its bytes have arrived on average"
				.formatted(finished, this.replies.size(), held / 10);
		}

		CommandResult result(boolean waited) {
			ObjectNode json = JsonNodeFactory.instance.objectNode();
			List<String> lines = new ArrayList<>();
			Map<String, Map<String, Integer>> versions = new LinkedHashMap<>();
			json.putObject("services");
			json.putArray("replicas");
			for (FleetClient.Reply reply : this.replies) {
				String version = reply.status().map((status) -> status.getLoad().getVersion()).orElse("no answer");
				versions.computeIfAbsent(reply.member().getService(), (key) -> new TreeMap<>())
					.merge(version.isEmpty() ? "none" : version, 1, Integer::sum);
				json.withArray("replicas").add(json(reply));
			}
			versions.forEach((service, counts) -> {
				ObjectNode node = json.with("services").putObject(service);
				counts.forEach(node::put);
				counts.forEach((version, count) -> lines.add("%-16s %-16s %d".formatted(service, version, count)));
			});
			this.replies.stream().filter((reply) -> !done(reply)).forEach((reply) -> lines.add(pending(reply)));
			json.put("done", done());
			return new CommandResult((waited && !done()) ? ExitStatus.UNREACHABLE : ExitStatus.OK, json, lines);
		}

		private static String pending(FleetClient.Reply reply) {
			return reply.status()
				.map((status) -> "%s: wants %s, holds %.1f %% of it, %s".formatted(reply.member().getInstance(),
						status.getWantedVersion(), status.getChunksHeldPermille() / 10.0, status.getRolloutPhase()))
				.orElseGet(() -> reply.member().getInstance() + ": " + reply.failure());
		}

		private static ObjectNode json(FleetClient.Reply reply) {
			ObjectNode node = JsonNodeFactory.instance.objectNode();
			node.put("instance", reply.member().getInstance()).put("service", reply.member().getService());
			reply.status()
				.ifPresent((status) -> node.put("version", status.getLoad().getVersion())
					.put("digest", status.getLoad().getDigest())
					.put("wanted_version", status.getWantedVersion())
					.put("chunks_held_permille", status.getChunksHeldPermille())
					.put("phase", status.getRolloutPhase()));
			return node;
		}

	}

}
