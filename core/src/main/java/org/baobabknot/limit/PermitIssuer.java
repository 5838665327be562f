package org.baobabknot.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Issues permits for requests to targets that state a limit, so that all processes keep
 * it together wherever their callers are. Confined to one thread.
 */
public final class PermitIssuer {

	/** Time for which one process gets permits at once. */
	private static final double MAX_BATCH_SECONDS = 0.05;

	/** Time for which a process counts as one that wants permits. */
	private static final long CONTENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Requests for a permit that processes send together while one becomes valid. */
	private static final double REQUESTS_PER_PERMIT = 4;

	/**
	 * Longest time over which further requests are spread. A process does not learn of a
	 * higher limit before.
	 */
	private static final double MAX_SPREAD_SECONDS = 10;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	/** Targets that are remembered, those that were used last. */
	private static final int MAX_TARGETS = 4_096;

	private static final int MAX_SENDERS = 1_024;

	private final RandomGenerator random;

	private final Map<Long, Target> targets = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Target> eldest) {
			return size() > MAX_TARGETS;
		}
	};

	/**
	 * Creates an issuer.
	 * @param random spreads the requests of processes that got no permit
	 */
	public PermitIssuer(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Takes a statement of a target into account.
	 * @param target start of the target, as a hash
	 * @param statement the statement
	 * @return whether a target has begun or ceased to state a limit
	 */
	public boolean recordStatement(long target, LimitStatement statement) {
		StatedLimit limit = this.targets.computeIfAbsent(target, (absent) -> new Target()).limit;
		boolean limitedBefore = limit.limited();
		limit.merge(statement);
		return limit.limited() != limitedBefore;
	}

	/**
	 * Returns the newest statement of a target that this process knows.
	 * @param target start of the target, as a hash
	 * @return the statement, one without a limit if the target has stated none
	 */
	public LimitStatement newestStatement(long target) {
		return this.targets.computeIfAbsent(target, (absent) -> new Target()).limit.statement();
	}

	/**
	 * Returns the limit that a target states, if any, as far as this process knows.
	 * @param target start of the target, as a hash
	 * @return the newest statement, nothing if the target states no limit
	 */
	public Optional<LimitStatement> statement(long target) {
		return Optional.ofNullable(this.targets.get(target))
			.filter((known) -> known.limit.limited())
			.map((known) -> known.limit.statement());
	}

	/**
	 * Issues permits.
	 * @param request what a process needs
	 * @param share part of the limit that this process issues
	 * @param nowNanos monotonic time
	 * @return the permits, or the time after which to ask again
	 */
	public Result issue(Request request, double share, long nowNanos) {
		Target target = this.targets.computeIfAbsent(request.target(), (absent) -> new Target());
		target.limit.merge(request.statement());
		LimitStatement statement = target.limit.statement();
		if (!target.limit.limited()) {
			return new Result(request.permits(), 0, 0, statement);
		}
		target.recordSender(request.sender(), nowNanos);
		double fullRate = PermitSchedule.rate(statement.ratePerSecond());
		double rate = fullRate * share;
		int permits = (int) Math.max(1, Math.min(request.permits(), rate * MAX_BATCH_SECONDS));
		OptionalLong valid = target.schedule.tryIssue(rate, permits, request.maxWaitNanos(), nowNanos);
		// A process that issues a part now may issue the whole limit a moment later.
		long retryNanos = (long) (target.schedule.waitNanos(nowNanos) * share) + spreadNanos(target, fullRate);
		return (valid.isPresent()) ? new Result(permits, valid.getAsLong() - nowNanos, retryNanos, statement)
				: new Result(0, 0, retryNanos, statement);
	}

	// Spread over a time that grows with the number of processes, so that the messages
	// grow with the permits and not with the processes.
	private long spreadNanos(Target target, double rate) {
		double seconds = Math.min(MAX_SPREAD_SECONDS, (target.senders.size() - 1) / (REQUESTS_PER_PERMIT * rate));
		return (long) (this.random.nextDouble() * seconds * NANOS_PER_SECOND);
	}

	/**
	 * What a process needs.
	 *
	 * @param target start of the target, as a hash
	 * @param statement newest statement of the target that the process knows
	 * @param permits number of permits
	 * @param maxWaitNanos longest time until they become valid, in ns
	 * @param sender id of the process
	 */
	public record Request(long target, LimitStatement statement, int permits, long maxWaitNanos, long sender) {
	}

	/**
	 * What a process gets.
	 *
	 * @param permits number of permits, 0 for none
	 * @param validInNanos time until they become valid, in ns
	 * @param retryInNanos time before which a further request is not going to be granted,
	 * in ns
	 * @param statement newest statement of the target that the issuer knows
	 */
	public record Result(int permits, long validInNanos, long retryInNanos, LimitStatement statement) {
	}

	private static final class Target {

		private final StatedLimit limit = new StatedLimit();

		private final PermitSchedule schedule = new PermitSchedule();

		private final Map<Long, Long> senders = new HashMap<>();

		void recordSender(long sender, long nowNanos) {
			this.senders.put(sender, nowNanos);
			this.senders.values().removeIf((seenNanos) -> nowNanos - seenNanos > CONTENTION_NANOS);
			if (this.senders.size() > MAX_SENDERS) {
				this.senders.clear();
			}
		}

	}

}
