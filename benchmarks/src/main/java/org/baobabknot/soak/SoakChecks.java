package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;

/**
 * Checks the rules on the history of a soak.
 */
final class SoakChecks {

	/** Statuses that promise that the request has not run and never will. */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	/** Time for which a target that states that it leaves may still get requests. */
	private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Time after a refusal from which a rest counts. */
	private static final long REST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAX_REQUESTS_IN_REST = 2;

	private static final int MAX_CRASHES = 5;

	private static final int MAX_DEADLY_REQUESTS = 3;

	/** Time in which a gateway must be undisturbed to count. */
	private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final SoakHistory history;

	private final TargetRecords targets;

	private final List<SoakViolation> violations = new ArrayList<>();

	private final StopChecks stopChecks;

	private final ResponseChecks responseChecks;

	SoakChecks(SoakHistory history) {
		this.history = history;
		this.targets = TargetRecords.of(history.engines());
		this.stopChecks = new StopChecks(history, this.targets, this.violations::add);
		this.responseChecks = new ResponseChecks(history, this.targets, this.violations::add);
	}

	/**
	 * Returns the requests that stops have cut and that are not counted.
	 * @return their number by reason
	 */
	Map<String, Integer> excusedCuts() {
		return this.stopChecks.excused();
	}

	/**
	 * Returns the checks of responses that ended early outside of stops.
	 * @return the checks, to be read after the run
	 */
	ResponseChecks responseChecks() {
		return this.responseChecks;
	}

	/**
	 * Checks all rules.
	 * @return the violations
	 */
	List<SoakViolation> run() {
		this.violations.addAll(this.history.violations());
		List<EngineEvent> events = this.history.engines()
			.stream()
			.flatMap((engine) -> engine.events().stream())
			.toList();
		AnswerChecks answerChecks = new AnswerChecks(this.targets, this.violations::add);
		for (SoakRequest request : this.history.requests()) {
			checkRuns(request);
			answerChecks.check(request);
			if (!this.stopChecks.check(request)) {
				this.responseChecks.check(request);
			}
		}
		answerChecks.checkTargets(this.history.requests(), this.history.engines());
		this.history.engines().forEach(this::checkStatements);
		LimitChecks limitChecks = new LimitChecks(this.history);
		this.history.engines()
			.forEach((engine) -> limitChecks.check(engine.events())
				.ifPresent((seen) -> this.violations
					.add(new SoakViolation("LIMIT: " + engine.id() + " stated a limit and got " + seen))));
		checkDeadlyPart(events);
		return List.copyOf(this.violations);
	}

	private void checkRuns(SoakRequest request) {
		int runs = this.targets.starts(request.id());
		if (request.kind().runsAtMostOnce() && runs > 1) {
			add(request, "TWICE: " + request.describe() + " ran " + runs + " times");
		}
		if (request.kind().runsAtMostOnce() && runs > 0 && NOT_RUN_STATUSES.contains(request.status())) {
			add(request, "REFUSED: " + request.describe() + " got " + request.status() + " and has run");
		}
		CallerExchange exchange = request.exchange();
		if (request.unanswered() && this.targets.received(request.id())
				&& !this.history.disturbed(request.gateway(), exchange.beginNanos(), exchange.endNanos(), false)) {
			add(request, "LOST: " + request.describe() + " was cut off without an answer (" + exchange.end() + ")");
		}
	}

	private void add(SoakRequest request, String text) {
		this.violations.add(new SoakViolation(text, request));
	}

	private boolean disturbed(int gateway, long fromNanos, long toNanos) {
		return this.history.disturbed(gateway, fromNanos, toNanos, true);
	}

	private void checkStatements(EmulatedEngine engine) {
		List<EngineEvent> events = engine.events();
		for (EngineEvent event : events) {
			if (event.kind() == EventKind.RESTED) {
				long from = event.nanos() + REST_DELAY_NANOS;
				long to = event.nanos() + event.restNanos();
				List<String> received = received(events, event.gateway(), from, to);
				if (received.size() > MAX_REQUESTS_IN_REST && !disturbed(event.gateway(), event.nanos(), to)) {
					addForTarget(event.requestId(), engine.id() + " got " + received + " of gateway " + event.gateway()
							+ " in the rest that it asked for on " + event.requestId());
				}
			}
			if (event.kind() == EventKind.LEAVING_STATED) {
				long from = event.nanos() + DRAIN_NANOS;
				List<String> received = received(events, event.gateway(), from, Long.MAX_VALUE);
				if (!received.isEmpty() && !disturbed(event.gateway(), event.nanos(), Long.MAX_VALUE)) {
					addForTarget(event.requestId(), engine.id() + " got " + received + " of gateway " + event.gateway()
							+ " after it had stated on " + event.requestId() + " that it leaves");
				}
			}
		}
	}

	private void addForTarget(String requestId, String text) {
		SoakRequest request = this.history.requests()
			.stream()
			.filter((each) -> each.id().equals(requestId))
			.findFirst()
			.orElse(null);
		this.violations.add(new SoakViolation(text, request));
	}

	private static List<String> received(List<EngineEvent> events, int gateway, long fromNanos, long toNanos) {
		return events.stream()
			.filter((event) -> event.kind() == EventKind.RECEIVED && event.gateway() == gateway
					&& event.nanos() > fromNanos && event.nanos() < toNanos)
			.map(EngineEvent::requestId)
			.toList();
	}

	private void checkDeadlyPart(List<EngineEvent> events) {
		List<Long> crashes = events.stream()
			.filter((event) -> event.kind() == EventKind.CRASHED)
			.map(EngineEvent::nanos)
			.sorted()
			.toList();
		if (crashes.size() < MAX_CRASHES) {
			return;
		}
		Set<String> deadly = new HashSet<>();
		this.history.requests()
			.stream()
			.filter((request) -> request.kind() == SoakRequest.Kind.DEADLY_TEXT)
			.forEach((request) -> deadly.add(request.id()));
		long from = crashes.get(MAX_CRASHES - 1) + CONTACT_NANOS;
		long count = events.stream()
			.filter((event) -> event.kind() == EventKind.RECEIVED && event.nanos() > from
					&& deadly.contains(event.requestId())
					&& !disturbed(event.gateway(), event.nanos() - CONTACT_NANOS, event.nanos()))
			.count();
		if (count > MAX_DEADLY_REQUESTS) {
			addForTarget("", count + " requests with a deadly part reached engines 3 s after the fifth crash");
		}
	}

}
