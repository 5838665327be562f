package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

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

	private final List<String> violations = new ArrayList<>();

	SoakChecks(SoakHistory history) {
		this.history = history;
	}

	/**
	 * Checks all rules.
	 * @return one line for each violation
	 */
	List<String> run() {
		List<EngineEvent> events = this.history.engines()
			.stream()
			.flatMap((engine) -> engine.events().stream())
			.toList();
		Map<String, Integer> starts = new HashMap<>();
		events.stream()
			.filter((event) -> event.kind() == EventKind.STARTED)
			.forEach((event) -> starts.merge(event.requestId(), 1, Integer::sum));
		Set<String> received = new HashSet<>();
		events.stream()
			.filter((event) -> event.kind() == EventKind.RECEIVED)
			.forEach((event) -> received.add(event.requestId()));
		this.history.requests().forEach((request) -> check(request, starts, received));
		this.history.engines().forEach(this::checkStatements);
		checkDeadlyPart(events);
		return List.copyOf(this.violations);
	}

	private void check(SoakRequest request, Map<String, Integer> starts, Set<String> received) {
		int runs = starts.getOrDefault(request.id(), 0);
		if (request.kind().runsAtMostOnce() && runs > 1) {
			this.violations.add("order " + request.id() + " ran " + runs + " times");
		}
		if (request.kind().runsAtMostOnce() && runs > 0 && NOT_RUN_STATUSES.contains(request.status())) {
			this.violations.add("order " + request.id() + " got " + request.status() + " and has run");
		}
		if (request.status() == 200 && !request.isRight()) {
			this.violations.add(request.kind() + " " + request.id() + " got another body: " + request.body());
		}
		boolean cut = request.status() == 0 && received.contains(request.id());
		if (cut && !disturbed(request.gateway(), request.sentNanos(), Long.MAX_VALUE, false)) {
			this.violations.add(request.kind() + " " + request.id() + " was cut off without an answer by gateway "
					+ request.gateway());
		}
	}

	private boolean disturbed(int gateway, long fromNanos, long toNanos, boolean planned) {
		return this.history.disturbances()
			.stream()
			.anyMatch((each) -> (planned || !each.planned()) && each.overlaps(gateway, fromNanos, toNanos));
	}

	private void checkStatements(EmulatedEngine engine) {
		List<EngineEvent> events = engine.events();
		for (EngineEvent event : events) {
			if (event.kind() == EventKind.RESTED) {
				long from = event.nanos() + REST_DELAY_NANOS;
				long to = event.nanos() + event.restNanos();
				List<String> received = received(events, event.gateway(), from, to);
				if (received.size() > MAX_REQUESTS_IN_REST && !disturbed(event.gateway(), event.nanos(), to, true)) {
					this.violations.add(engine.id() + " got " + received + " of gateway " + event.gateway()
							+ " in the rest that it asked for on " + event.requestId());
				}
			}
			if (event.kind() == EventKind.LEAVING_STATED) {
				long from = event.nanos() + DRAIN_NANOS;
				List<String> received = received(events, event.gateway(), from, Long.MAX_VALUE);
				if (!received.isEmpty() && !disturbed(event.gateway(), event.nanos(), Long.MAX_VALUE, true)) {
					this.violations.add(engine.id() + " got " + received + " of gateway " + event.gateway()
							+ " after it had stated on " + event.requestId() + " that it leaves");
				}
			}
		}
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
					&& !disturbed(event.gateway(), event.nanos() - CONTACT_NANOS, event.nanos(), true))
			.count();
		if (count > MAX_DEADLY_REQUESTS) {
			this.violations.add(count + " requests with a deadly part reached engines 3 s after the fifth crash");
		}
	}

}
