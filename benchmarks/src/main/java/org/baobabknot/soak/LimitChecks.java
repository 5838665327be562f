package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;

/**
 * Checks that targets do not get more than the limits that they state. Counted are the
 * requests of gateways that had been told and were not disturbed shortly before.
 */
final class LimitChecks {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** Time after the first statement from which a limit counts. */
	private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Time after a statement to a gateway from which its requests count. */
	private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final double ALLOWED_RATIO = 1.5;

	private static final int ALLOWED_REQUESTS = 5;

	private final SoakHistory history;

	LimitChecks(SoakHistory history) {
		this.history = history;
	}

	/**
	 * Checks one target.
	 * @param events what happened at the target, in order
	 * @return what was seen in the worst time, nothing if no limit was exceeded
	 */
	Optional<String> check(List<EngineEvent> events) {
		return worst(events).filter(Worst::exceeded)
			.map((worst) -> worst.requests() + " requests in 4 s, allowed " + worst.allowed());
	}

	/**
	 * Finds the time in which a target got the most beyond its limit.
	 * @param events what happened at the target, in order
	 * @return the worst time, nothing if no request counted
	 */
	Optional<Worst> worst(List<EngineEvent> events) {
		Optional<Worst> worst = Optional.empty();
		for (Limit limit : limits(events)) {
			List<Long> counted = counted(events, limit);
			int first = 0;
			for (int last = 0; last < counted.size(); last++) {
				while (counted.get(last) - counted.get(first) > WINDOW_NANOS) {
					first++;
				}
				Worst current = new Worst(last - first + 1, limit.allowed());
				if (worst.isEmpty() || current.excess() > worst.get().excess()) {
					worst = Optional.of(current);
				}
			}
		}
		return worst;
	}

	private List<Long> counted(List<EngineEvent> events, Limit limit) {
		Map<Integer, Long> told = new HashMap<>();
		List<Long> counted = new ArrayList<>();
		for (EngineEvent event : events) {
			boolean within = event.nanos() >= limit.fromNanos() && event.nanos() <= limit.toNanos();
			if (within && event.kind() == EventKind.ANSWERED) {
				told.putIfAbsent(event.gateway(), event.nanos());
			}
			else if (within && event.kind() == EventKind.RECEIVED && event.nanos() >= limit.fromNanos() + SETTLING_NANOS
					&& told.getOrDefault(event.gateway(), Long.MAX_VALUE) <= event.nanos() - TOLD_NANOS
					&& !this.history.disturbed(event.gateway(), event.nanos() - SETTLING_NANOS, event.nanos(), true)) {
				counted.add(event.nanos());
			}
		}
		return counted;
	}

	// The times in which a target stated a limit without a break, with the highest one.
	private static List<Limit> limits(List<EngineEvent> events) {
		List<Limit> limits = new ArrayList<>();
		boolean open = false;
		for (EngineEvent event : events) {
			if (event.kind() != EventKind.ANSWERED) {
				continue;
			}
			boolean stated = event.limitPerSecond() != Double.POSITIVE_INFINITY;
			if (stated && open) {
				Limit current = limits.remove(limits.size() - 1);
				limits.add(new Limit(Math.max(current.perSecond(), event.limitPerSecond()), current.fromNanos(),
						event.nanos()));
			}
			else if (stated) {
				limits.add(new Limit(event.limitPerSecond(), event.nanos(), event.nanos()));
			}
			open = stated;
		}
		return limits;
	}

	/**
	 * What a target got in 4 s.
	 *
	 * @param requests number of requests that count
	 * @param allowed number of requests that its limit allows
	 */
	record Worst(int requests, int allowed) {

		int excess() {
			return this.requests - this.allowed;
		}

		boolean exceeded() {
			return excess() > 0;
		}

	}

	/** A limit that a target stated for some time. */
	private record Limit(double perSecond, long fromNanos, long toNanos) {

		int allowed() {
			return (int) (ALLOWED_RATIO * this.perSecond * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS))
					+ ALLOWED_REQUESTS;
		}

	}

}
