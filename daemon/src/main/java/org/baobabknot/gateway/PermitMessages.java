package org.baobabknot.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.baobabknot.limit.LimitStatement;
import org.baobabknot.limit.PermitIssuer;
import org.baobabknot.protocol.generated.LimitNotice;
import org.baobabknot.protocol.generated.PermitReply;
import org.baobabknot.protocol.generated.PermitRequest;

/**
 * Converts what entries tell each other about limits. Times are sent as ages, because the
 * clocks of two processes have nothing in common.
 */
final class PermitMessages {

	/** Permits that one message can ask for. */
	private static final int MAX_PERMITS = 10_000;

	/** Times above which a message can't be, in ms. */
	private static final int MAX_MS = 3_600_000;

	private PermitMessages() {
	}

	static LimitNotice encode(long key, String region, LimitStatement statement, long now) {
		return LimitNotice.newBuilder()
			.setTarget(key)
			.setRegion(region)
			.setRatePerSecond(statement.ratePerSecond())
			.setReceivedAgeMs(ageMs(statement.receivedNanos(), now))
			.setSentAgeMs(ageMs(statement.sentNanos(), now))
			.build();
	}

	private static int ageMs(long nanos, long now) {
		return (int) Math.min(MAX_MS, Math.max(0, TimeUnit.NANOSECONDS.toMillis(now - nanos)));
	}

	/**
	 * Decodes a statement.
	 * @param notice the message
	 * @param now monotonic time
	 * @return the statement, nothing if its values can't be
	 */
	static Optional<LimitStatement> decode(LimitNotice notice, long now) {
		if (!(notice.getRatePerSecond() >= 0) || !isTime(notice.getReceivedAgeMs()) || !isTime(notice.getSentAgeMs())) {
			return Optional.empty();
		}
		return Optional.of(new LimitStatement(notice.getRatePerSecond(), now - nanos(notice.getSentAgeMs()),
				now - nanos(notice.getReceivedAgeMs())));
	}

	private static boolean isTime(int ms) {
		return ms >= 0 && ms <= MAX_MS;
	}

	private static long nanos(int ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	static PermitRequest request(long number, LimitedTarget target, long sender, int permits, long maxWaitMs,
			long now) {
		return PermitRequest.newBuilder()
			.setNumber(number)
			.setLimit(encode(target.key(), target.region(), target.limit().statement(), now))
			.setPermits(permits)
			.setMaxWaitMs((int) Math.min(MAX_MS, Math.max(0, maxWaitMs)))
			.setSender(sender)
			.build();
	}

	/**
	 * Decodes a request for permits.
	 * @param request the message
	 * @param now monotonic time
	 * @return the request, nothing if its values can't be
	 */
	static Optional<PermitIssuer.Request> decode(PermitRequest request, long now) {
		if (request.getPermits() <= 0 || request.getPermits() > MAX_PERMITS || !isTime(request.getMaxWaitMs())) {
			return Optional.empty();
		}
		return decode(request.getLimit(), now)
			.map((statement) -> new PermitIssuer.Request(request.getLimit().getTarget(), statement,
					request.getPermits(), nanos(request.getMaxWaitMs()), request.getSender()));
	}

	static PermitReply encode(PermitRequest request, PermitIssuer.Result result, long now) {
		return PermitReply.newBuilder()
			.setNumber(request.getNumber())
			.setLimit(encode(request.getLimit().getTarget(), request.getLimit().getRegion(), result.statement(), now))
			.setPermits(result.permits())
			.setValidInMs(ceilMs(result.validInNanos()))
			.setRetryInMs(ceilMs(result.retryInNanos()))
			.build();
	}

	private static int ceilMs(long nanos) {
		return (int) Math.min(MAX_MS, TimeUnit.NANOSECONDS.toMillis(nanos + TimeUnit.MILLISECONDS.toNanos(1) - 1));
	}

}
