package org.baobabknot.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.protocol.generated.TimelineEvent;
import org.baobabknot.protocol.generated.TimelinePull;
import org.baobabknot.time.HybridClock;

/**
 * Merges the timelines of all processes by hybrid clock, so that an event never stands
 * before one that caused it over a message.
 */
final class TimelineCommand implements Command {

	private static final int PER_PROCESS = 1_000;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("limit", "number of events, the latest").withRequiredArg().ofType(Integer.class).defaultsTo(200);
		parser.accepts("kind", "only events of this kind").withRequiredArg();
		parser.accepts("instance", "only events of this instance").withRequiredArg();
	}

	@Override
	public CommandResult run(OptionSet options, Tool tool) throws CommandFailure {
		List<Member> members = tool.fleet().members();
		List<CompletableFuture<FleetClient.Answer>> answers = new ArrayList<>();
		for (Member member : members) {
			TimelinePull pull = TimelinePull.newBuilder().setLimit(PER_PROCESS).build();
			answers.add(tool.fleet().ask(member, Frame.newBuilder().setTimelinePull(pull), Frame::hasTimelineValue));
		}
		List<TimelineEvent> events = new ArrayList<>();
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.putArray("not_answering");
		for (int i = 0; i < members.size(); i++) {
			FleetClient.Answer answer = answers.get(i).join();
			if (answer.frame() == null) {
				json.withArray("not_answering").add(members.get(i).getInstance());
				tool.report("without the events of " + members.get(i).getInstance() + ": " + answer.failure());
				continue;
			}
			answer.frame()
				.getTimelineValue()
				.getEventsList()
				.stream()
				.filter((event) -> wanted(event, options))
				.forEach(events::add);
		}
		return result(merged(events, (Integer) options.valueOf("limit")), json);
	}

	private static boolean wanted(TimelineEvent event, OptionSet options) {
		boolean kind = !options.has("kind") || event.getKind().equals(options.valueOf("kind"));
		return kind && (!options.has("instance") || event.getInstance().equals(options.valueOf("instance")));
	}

	/**
	 * Orders events and keeps the latest.
	 * @param events the events of all processes
	 * @param limit number of events to keep
	 * @return the latest events in order of their clocks, then of their instances
	 */
	static List<TimelineEvent> merged(List<TimelineEvent> events, int limit) {
		List<TimelineEvent> ordered = new ArrayList<>(events);
		Comparator<TimelineEvent> byClock = (left, right) -> Long.compareUnsigned(left.getClock(), right.getClock());
		ordered.sort(byClock.thenComparing(TimelineEvent::getInstance));
		return ordered.subList(Math.max(0, ordered.size() - limit), ordered.size());
	}

	private static CommandResult result(List<TimelineEvent> events, ObjectNode json) {
		List<String> lines = new ArrayList<>();
		json.putArray("events");
		for (TimelineEvent event : events) {
			String time = Instant.ofEpochMilli(HybridClock.millis(event.getClock())).toString();
			json.withArray("events")
				.addObject()
				.put("clock", Long.toUnsignedString(event.getClock()))
				.put("time", time)
				.put("instance", event.getInstance())
				.put("kind", event.getKind())
				.put("detail", event.getDetail());
			lines.add("%-24s %-24s %-20s %s".formatted(time, event.getInstance(), event.getKind(), event.getDetail()));
		}
		if (lines.isEmpty()) {
			lines.add("no events");
		}
		return new CommandResult(ExitStatus.OK, json, lines);
	}

}
