package org.baobabknot.command;

import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.protocol.generated.DrainOrder;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Member;

/**
 * Drains one instance: it refuses new requests and completes those that run.
 */
final class DrainCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("reason", "why, for the timeline").withRequiredArg().defaultsTo("drained by an operator");
		parser.accepts("wait", "waits until no request runs on the instance");
		parser.accepts("wait-seconds", "longest wait").withRequiredArg().ofType(Integer.class).defaultsTo(60);
		parser.nonOptions("the instance");
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		String instance = Arguments.single(options, "INSTANCE");
		Member member = context.fleet()
			.members()
			.stream()
			.filter((candidate) -> candidate.getInstance().equals(instance))
			.findFirst()
			.orElseThrow(
					() -> new CommandFailure(ExitStatus.REFUSED, "no instance " + instance + " in the member list"));
		DrainOrder order = DrainOrder.newBuilder().setReason((String) options.valueOf("reason")).build();
		FleetClient.Response response = context.fleet()
			.request(member, Frame.newBuilder().setDrainOrder(order), Frame::hasDrainAccepted)
			.join();
		ObjectNode json = JsonNodeFactory.instance.objectNode().put("instance", instance);
		if (response.frame() == null) {
			return CommandResult.of(ExitStatus.UNREACHABLE, json.put("drain", "not confirmed"),
					"not confirmed: " + response.failure() + "; the order can be given again");
		}
		json.put("drain", "accepted");
		if (options.has("wait") && !waitUntilIdle(member, options, context)) {
			return CommandResult.of(ExitStatus.UNREACHABLE, json.put("idle", false),
					instance + " drains; requests still run");
		}
		return CommandResult.of(ExitStatus.OK, json,
				instance + (options.has("wait") ? " is drained and idle" : " drains; running requests are finished"));
	}

	private static boolean waitUntilIdle(Member member, OptionSet options, CommandContext context)
			throws CommandFailure {
		long deadlineNanos = System.nanoTime() + (Integer) options.valueOf("wait-seconds") * 1_000_000_000L;
		while (System.nanoTime() - deadlineNanos < 0) {
			FleetClient.MemberStatus memberStatus = context.fleet().statuses(List.of(member)).get(0);
			if (memberStatus.status().isPresent()) {
				int running = memberStatus.status().get().getLoad().getRunning();
				if (running == 0) {
					return true;
				}
				context.reportProgress(member.getInstance() + " still runs " + running + " requests");
			}
			CommandContext.sleep(500);
		}
		return false;
	}

}
