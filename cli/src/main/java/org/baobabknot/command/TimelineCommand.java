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
 * Merges the timelines of all processes by hybrid logical clock, so that an event never
 * precedes the event on another process that caused it.
 */
final class TimelineCommand implements Command {

	private static final int MAX_EVENTS_PER_PROCESS = 1_000;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("limit", "number of events, the latest").withRequiredArg().ofType(Integer.class).defaultsTo(200);
		parser.accepts("kind", "only events of this kind").withRequiredArg();
		parser.accepts("instance", "only events of this instance").withRequiredArg();
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		List<Member> members = context.fleet().members();
		List<CompletableFuture<FleetClient.Response>> responses = new ArrayList<>();
		for (Member member : members) {
			TimelinePull pull = TimelinePull.newBuilder().setLimit(MAX_EVENTS_PER_PROCESS).build();
			responses.add(
					context.fleet().request(member, Frame.newBuilder().setTimelinePull(pull), Frame::hasTimelineValue));
		}
		List<TimelineEvent> events = new ArrayList<>();
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.putArray("not_answering");
		for (int i = 0; i < members.size(); i++) {
			FleetClient.Response response = responses.get(i).join();
			if (response.frame() == null) {
				json.withArray("not_answering").add(members.get(i).getInstance());
				context.reportProgress(
						"without the events of " + members.get(i).getInstance() + ": " + response.failure());
				continue;
			}
			response.frame()
				.getTimelineValue()
				.getEventsList()
				.stream()
				.filter((event) -> matchesOptions(event, options))
				.forEach(events::add);
		}
		return toResult(merge(events, (Integer) options.valueOf("limit")), json);
	}

	private static boolean matchesOptions(TimelineEvent event, OptionSet options) {
		boolean kindMatches = !options.has("kind") || event.getKind().equals(options.valueOf("kind"));
		return kindMatches && (!options.has("instance") || event.getInstance().equals(options.valueOf("instance")));
	}

	/**
	 * Orders events and returns the latest.
	 * @param events the events of all processes
	 * @param limit number of events to keep
	 * @return the latest events in order of their clocks, then of their instances
	 */
	static List<TimelineEvent> merge(List<TimelineEvent> events, int limit) {
		List<TimelineEvent> ordered = new ArrayList<>(events);
		Comparator<TimelineEvent> byClock = (left, right) -> Long.compareUnsigned(left.getClock(), right.getClock());
		ordered.sort(byClock.thenComparing(TimelineEvent::getInstance));
		return ordered.subList(Math.max(0, ordered.size() - limit), ordered.size());
	}

	private static CommandResult toResult(List<TimelineEvent> events, ObjectNode json) {
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
