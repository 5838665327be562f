package org.baobabknot.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.baobabknot.observe.DecisionLog;
import org.baobabknot.provider.LimitField;
import org.baobabknot.provider.TargetResponseHead;

/**
 * Logs what targets state about themselves: the limits that change, and statements that
 * this process does not understand. The lines of a target are limited, because it may
 * state something else in each response. Confined to one event loop.
 */
final class StatementLog {

	private static final long LIMIT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int MAX_REMEMBERED = 1_024;

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	/** When something was last logged, by what it was. */
	private final Map<String, Long> loggedNanos = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	StatementLog(DecisionLog log, GatewayMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Logs a limit that has changed, at most once a second for a target.
	 * @param attempt the attempt whose response states it
	 * @param requestId id of the request
	 */
	void limitChanged(TargetAttempt attempt, String requestId) {
		long now = System.nanoTime();
		Long lastNanos = this.loggedNanos.get(attempt.target().id());
		if (lastNanos != null && now - lastNanos < LIMIT_INTERVAL_NANOS) {
			return;
		}
		this.loggedNanos.put(attempt.target().id(), now);
		boolean limited = attempt.load().availability().limit().limited();
		this.log.line(DecisionLog.Importance.STATE, (limited) ? "limit-stated" : "limit-lifted")
			.with("target", attempt.target().id())
			.with("address", attempt.target().address())
			.with("request", requestId)
			.with("perSecond", Double.toString(attempt.load().availability().limit().ratePerSecond()))
			.write();
	}

	/**
	 * Counts and logs statements that are not understood, each once for a target.
	 * @param attempt the attempt whose response has them
	 * @param requestId id of the request
	 * @param response decoded head of the response
	 */
	void recordUnread(TargetAttempt attempt, String requestId, TargetResponseHead response) {
		if (response.limit().kind() == LimitField.Kind.UNREADABLE) {
			recordUnread(attempt, requestId, "limit");
		}
		response.unreadStatements().forEach((name) -> recordUnread(attempt, requestId, name));
	}

	private void recordUnread(TargetAttempt attempt, String requestId, String name) {
		this.metrics.statementUnread();
		String key = attempt.target().id() + " " + name;
		if (this.loggedNanos.put(key, System.nanoTime()) == null) {
			this.log.line(DecisionLog.Importance.STATE, "statement-unread")
				.with("target", attempt.target().id())
				.with("address", attempt.target().address())
				.with("request", requestId)
				.with("statement", name)
				.write();
		}
	}

}
