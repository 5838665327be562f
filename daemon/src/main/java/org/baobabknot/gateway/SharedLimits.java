package org.baobabknot.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.limit.IssuerRanking;
import org.baobabknot.limit.IssuerRole;
import org.baobabknot.limit.LimitStatement;
import org.baobabknot.limit.PermitIssuer;
import org.baobabknot.limit.StatedLimit;
import org.baobabknot.protocol.generated.PermitMessage;
import org.baobabknot.protocol.generated.PermitReply;
import org.baobabknot.protocol.generated.PermitRequest;

/**
 * Keeps the limits that targets state together with the other entries: gets a permit for
 * each request to such a target from the entry that issues them, and issues those of
 * other targets. Confined to one event loop.
 */
final class SharedLimits {

	/**
	 * Time in which an issuer replies, in ms: some round trips on the longest link of a
	 * fleet.
	 */
	private static final long REPLY_TIMEOUT_MS = 60;

	/** Time for which an issuer that did not reply is passed over, in ms. */
	private static final long SILENT_MS = 1_000;

	/** Time before a permit is requested again where no issuer replies, in ms. */
	private static final long UNREACHABLE_RETRY_MS = 250;

	/**
	 * Requests for permits that one entry sends in a second, which bounds the messages
	 * where many targets state limits.
	 */
	private static final int MAX_REQUESTS_PER_SECOND = 50;

	/**
	 * Times after a change at which the issuers are notified again, in ms. A response
	 * that shows the change may be older than what an issuer knows, and a message can be
	 * lost.
	 */
	private static final long[] REPEATED_NOTICES_MS = { 100, 300, 1_000 };

	private final EntryRecord self;

	private final long selfId;

	private final EventLoop loop;

	private final LongSupplier clock;

	private final Peers peers;

	private final IntSupplier processes;

	private final Function<Long, Optional<StatedLimit>> limits;

	private final Consumer<PermitResult> results;

	private final IssuerRanking ranking;

	private final PermitIssuer issuer;

	private final IssuerNotices issuerNotices;

	private final Map<Long, PendingRequest> pending = new HashMap<>();

	/** Targets of which further notices are scheduled. */
	private final Set<Long> notified = new HashSet<>();

	private final Map<String, Long> silentUntilNanos = new HashMap<>();

	private long requestNumber;

	private long secondNanos;

	private int requestsInSecond;

	/**
	 * Creates the limits of a process that knows no other one yet.
	 * @param self entry of this process
	 * @param loop event loop
	 * @param clock monotonic time in ns, the same as that of statements and placing
	 * @param random spreads the requests of entries that got no permit
	 * @param peers the other entries
	 * @param processes number of entries that share a limit
	 * @param limits finds the limit that a start of a target, given as a hash, has stated
	 * @param results receives what came of each request for permits
	 */
	SharedLimits(EntryRecord self, EventLoop loop, LongSupplier clock, RandomGenerator random, Peers peers,
			IntSupplier processes, Function<Long, Optional<StatedLimit>> limits, Consumer<PermitResult> results) {
		this.self = self;
		this.selfId = Hashing.komihash5_0().hashCharsToLong(self.instance());
		this.loop = loop;
		this.clock = clock;
		this.peers = peers;
		this.processes = processes;
		this.limits = limits;
		this.results = results;
		this.ranking = new IssuerRanking(self);
		this.issuer = new PermitIssuer(random);
		this.issuerNotices = new IssuerNotices(self, this.ranking, peers, clock);
	}

	private long now() {
		return this.clock.getAsLong();
	}

	/**
	 * Returns the ranking, to which the state of the registrations is reported.
	 * @return the ranking
	 */
	IssuerRanking ranking() {
		return this.ranking;
	}

	/**
	 * Returns what this process and the others tell each other as issuers.
	 * @return the notices
	 */
	IssuerNotices issuerNotices() {
		return this.issuerNotices;
	}

	/**
	 * Returns what other entries have reported of a target that this process has not used
	 * yet.
	 * @param key start of the target, as a hash
	 * @return its newest statement, nothing if it states no limit
	 */
	Optional<LimitStatement> knownStatement(long key) {
		return this.issuer.statement(key);
	}

	/**
	 * Tells the issuers of a target that its limit has changed.
	 * @param target the target
	 */
	void limitChanged(LimitedTarget target) {
		notifyIssuers(target);
		if (this.notified.add(target.key())) {
			for (long delayMs : REPEATED_NOTICES_MS) {
				this.loop.schedule(() -> notifyIssuers(target), delayMs, TimeUnit.MILLISECONDS);
			}
			this.loop.schedule(() -> this.notified.remove(target.key()),
					REPEATED_NOTICES_MS[REPEATED_NOTICES_MS.length - 1], TimeUnit.MILLISECONDS);
		}
	}

	private void notifyIssuers(LimitedTarget target) {
		PermitMessage notice = PermitMessage.newBuilder()
			.setNotice(PermitMessages.encode(target.key(), target.region(), target.limit().statement(), now()))
			.build();
		for (EntryRecord entry : this.ranking.issuers(target.region(), target.key())) {
			if (isSelf(entry)) {
				handleNotice(notice);
			}
			else {
				this.peers.send(notice, List.of(entry));
			}
		}
	}

	private boolean isSelf(EntryRecord entry) {
		return entry.instance().equals(this.self.instance());
	}

	/**
	 * Gets a permit for a request.
	 * @param target the target
	 * @param maxWaitMs longest time that the request may wait for it, in ms
	 * @param outcome receives the decision, at once or later
	 */
	void acquire(LimitedTarget target, long maxWaitMs, Outcome outcome) {
		if (!target.limit().limited() || target.permits().tryUse(now())) {
			outcome.granted();
			return;
		}
		PendingRequest running = this.pending.get(target.key());
		if (running != null) {
			running.waiting.add(new Waiter(maxWaitMs, outcome));
			return;
		}
		PendingRequest created = new PendingRequest(target);
		created.waiting.add(new Waiter(maxWaitMs, outcome));
		this.pending.put(target.key(), created);
		created.request();
	}

	private boolean mayRequest(long now) {
		if (now - this.secondNanos > TimeUnit.SECONDS.toNanos(1)) {
			this.secondNanos = now;
			this.requestsInSecond = 0;
		}
		return ++this.requestsInSecond <= MAX_REQUESTS_PER_SECOND;
	}

	/**
	 * Handles a message of another entry.
	 * @param message the message
	 * @param reply sends a message back to it
	 */
	void handle(PermitMessage message, Consumer<PermitMessage> reply) {
		if (message.hasRequest()) {
			issue(message.getRequest())
				.ifPresent((issued) -> reply.accept(PermitMessage.newBuilder().setReply(issued).build()));
		}
		if (message.hasReply()) {
			this.pending.values()
				.stream()
				.filter((request) -> request.number == message.getReply().getNumber())
				.findFirst()
				.ifPresent((request) -> request.replied(message.getReply()));
		}
		if (message.hasNotice()) {
			handleNotice(message);
		}
		if (message.hasIssuer()) {
			this.issuerNotices.handle(message.getIssuer(), reply);
		}
	}

	private Optional<PermitReply> issue(PermitRequest request) {
		long now = now();
		IssuerRole role = this.ranking.role(request.getLimit().getRegion(), request.getLimit().getTarget(), now);
		double share = role.share(this.processes.getAsInt());
		return PermitMessages.decode(request, now)
			.map((decoded) -> PermitMessages.encode(request, this.issuer.issue(decoded, share, now), now));
	}

	// The first issuer passes the begin and the end of a limit on to all others, so that
	// entries which get no response of the target know it. It repeats what it knows by
	// then: a message can be lost, and an entry may take the statement for an older one.
	private void handleNotice(PermitMessage message) {
		long now = now();
		long key = message.getNotice().getTarget();
		Optional<LimitStatement> statement = PermitMessages.decode(message.getNotice(), now);
		if (statement.isEmpty()) {
			return;
		}
		this.limits.apply(key).ifPresent((limit) -> limit.merge(statement.get()));
		if (this.issuer.recordStatement(key, statement.get())) {
			String region = message.getNotice().getRegion();
			passOn(region, key);
			for (long delayMs : REPEATED_NOTICES_MS) {
				this.loop.schedule(() -> passOn(region, key), delayMs, TimeUnit.MILLISECONDS);
			}
		}
	}

	private void passOn(String region, long key) {
		List<EntryRecord> issuers = this.ranking.issuers(region, key);
		if (!issuers.isEmpty() && isSelf(issuers.get(0))) {
			PermitMessage newest = PermitMessage.newBuilder()
				.setNotice(PermitMessages.encode(key, region, this.issuer.newestStatement(key), now()))
				.build();
			this.peers.send(newest, this.peers.others());
		}
	}

	/**
	 * Receives the decision on a request.
	 */
	interface Outcome {

		/**
		 * The request may be sent now.
		 */
		void granted();

		/**
		 * There is no permit in time.
		 */
		void denied();

	}

	/**
	 * The other entries of the fleet.
	 *
	 * @param entries supplies the entries
	 * @param sender sends a message to entries
	 */
	record Peers(Supplier<List<EntryRecord>> entries, BiConsumer<PermitMessage, List<EntryRecord>> sender) {

		List<EntryRecord> others() {
			return this.entries.get();
		}

		void send(PermitMessage message, List<EntryRecord> recipients) {
			this.sender.accept(message, recipients);
		}

	}

	private record Waiter(long maxWaitMs, Outcome outcome) {
	}

	/**
	 * A request for permits, and the requests of callers that wait for them.
	 */
	private final class PendingRequest {

		private final LimitedTarget target;

		private final Deque<Waiter> waiting = new ArrayDeque<>();

		private final long number = ++SharedLimits.this.requestNumber;

		private String issuerName = "";

		private long requestedNanos;

		private boolean replied;

		private Future<?> timeout = SharedLimits.this.loop.newSucceededFuture(null);

		PendingRequest(LimitedTarget target) {
			this.target = target;
		}

		void request() {
			long now = now();
			this.requestedNanos = now;
			Optional<EntryRecord> entry = SharedLimits.this.ranking.issuers(this.target.region(), this.target.key())
				.stream()
				.filter((each) -> !isSilent(each, now))
				.findFirst();
			boolean unknown = SharedLimits.this.ranking.issuers(this.target.region(), this.target.key()).isEmpty();
			PermitRequest message = PermitMessages.request(this.number, this.target, SharedLimits.this.selfId,
					Math.max(this.waiting.size(), this.target.permits().demand()), maxWaitMs(), now);
			if (unknown || entry.filter(SharedLimits.this::isSelf).isPresent()) {
				issue(message).ifPresentOrElse(this::replied, this::denyAll);
			}
			else if (entry.isPresent() && mayRequest(now)) {
				this.issuerName = entry.get().instance();
				this.timeout = SharedLimits.this.loop.schedule(this::timedOut, REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
				SharedLimits.this.peers.send(PermitMessage.newBuilder().setRequest(message).build(),
						List.of(entry.get()));
			}
			else {
				SharedLimits.this.results.accept(PermitResult.NOT_REQUESTED);
				this.target.permits().retryAt(now + TimeUnit.MILLISECONDS.toNanos(UNREACHABLE_RETRY_MS));
				denyAll();
			}
		}

		private long maxWaitMs() {
			return this.waiting.stream().mapToLong(Waiter::maxWaitMs).min().orElse(0);
		}

		private boolean isSilent(EntryRecord entry, long now) {
			Long until = SharedLimits.this.silentUntilNanos.get(entry.instance());
			return until != null && now - until < 0;
		}

		private void timedOut() {
			SharedLimits.this.results.accept(PermitResult.UNANSWERED);
			SharedLimits.this.silentUntilNanos.put(this.issuerName, now() + TimeUnit.MILLISECONDS.toNanos(SILENT_MS));
			request();
		}

		// Both issuers may reply if the first one is late; one reply is used.
		void replied(PermitReply reply) {
			if (this.replied) {
				return;
			}
			this.replied = true;
			this.timeout.cancel(false);
			SharedLimits.this.silentUntilNanos.remove(this.issuerName);
			long now = now();
			PermitMessages.decode(reply.getLimit(), now).ifPresent(this.target.limit()::merge);
			if (!this.target.limit().limited()) {
				complete().forEach((waiter) -> waiter.outcome().granted());
				return;
			}
			SharedLimits.this.results.accept((reply.getPermits() == 0) ? PermitResult.DENIED : PermitResult.GRANTED);
			this.target.permits().retryAt(now + TimeUnit.MILLISECONDS.toNanos(reply.getRetryInMs()));
			if (reply.getPermits() == 0) {
				denyAll();
			}
			else if (reply.getValidInMs() == 0) {
				use(reply.getPermits(), this.requestedNanos);
			}
			else {
				long validNanos = now + TimeUnit.MILLISECONDS.toNanos(reply.getValidInMs());
				SharedLimits.this.loop.schedule(() -> use(reply.getPermits(), validNanos), reply.getValidInMs(),
						TimeUnit.MILLISECONDS);
			}
		}

		private void use(int permits, long validNanos) {
			this.target.permits().add(permits, validNanos);
			complete().forEach((waiter) -> acquire(this.target, waiter.maxWaitMs(), waiter.outcome()));
		}

		private void denyAll() {
			complete().forEach((waiter) -> waiter.outcome().denied());
		}

		private Deque<Waiter> complete() {
			SharedLimits.this.pending.remove(this.target.key());
			return this.waiting;
		}

	}

}
