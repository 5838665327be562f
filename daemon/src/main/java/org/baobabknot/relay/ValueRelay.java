package org.baobabknot.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.FollowOrder;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.httpclient.HttpResult;
import org.baobabknot.protocol.generated.Values;
import org.baobabknot.protocol.generated.ValuesPull;
import org.baobabknot.provider.ItemRelay;
import org.baobabknot.provider.ItemSnapshot;
import org.jspecify.annotations.Nullable;

/**
 * Asks other processes for values. A source that fails is left alone for a time that
 * doubles with each failure; when none is left, the process turns to the store. Runs on
 * one event loop.
 */
public final class ValueRelay implements ItemRelay {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** A process of the same region accepts a connection within some ms. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	/** Time beyond its own wait in which a source must answer. */
	private static final long ANSWER_SLACK_MS = 500;

	/** Longest pause within an answer. */
	private static final Duration IDLE_TIMEOUT = Duration.ofMillis(700);

	/** Time for which a source is left alone after its first failure. */
	private static final long FIRST_AVOIDANCE_MS = 250;

	private static final int MOST_DOUBLINGS = 5;

	/** Time between two looks for a source while none can be asked. */
	private static final long RETRY_MS = 50;

	/**
	 * Time without an answer after which a process turns to the store: all processes of a
	 * region that lost power are up again within less.
	 */
	private static final long STORE_AFTER_MS = 800;

	/** Time by which processes turn to the store one after the other. */
	private static final long STORE_STEP_MS = 60;

	/** Steps at most, so that the last process still confirms its keys in time. */
	private static final int MOST_STEPS = 15;

	private static final int OK = 200;

	private final EventLoop loop;

	private final Supplier<FollowOrder> order;

	private final Map<String, Source> sources = new HashMap<>();

	private long unansweredNanos;

	/**
	 * Creates a relay.
	 * @param loop event loop
	 * @param order supplies whom this process asks
	 */
	public ValueRelay(EventLoop loop, Supplier<FollowOrder> order) {
		this.loop = loop;
		this.order = order;
	}

	@Override
	public boolean shouldReadStore() {
		FollowOrder now = this.order.get();
		if (now.sources().isEmpty()) {
			return true;
		}
		if (this.unansweredNanos == 0 || choose(now) != null) {
			return false;
		}
		long patienceMs = STORE_AFTER_MS + STORE_STEP_MS * Math.min(now.rank(), MOST_STEPS);
		return System.nanoTime() - this.unansweredNanos > TimeUnit.MILLISECONDS.toNanos(patienceMs);
	}

	@Override
	public void onStoreReached() {
		this.unansweredNanos = 0;
		this.sources.values().forEach((source) -> source.failures = 0);
	}

	@Override
	public CompletableFuture<Optional<ItemSnapshot>> poll(String prefix, Map<String, Long> known, long waitMs,
			long ageMs) {
		Source source = choose(this.order.get());
		CompletableFuture<Optional<ItemSnapshot>> result = new CompletableFuture<>();
		if (source == null) {
			unanswered();
			this.loop.schedule(() -> result.complete(Optional.empty()), RETRY_MS, TimeUnit.MILLISECONDS);
			return result;
		}
		byte[] body = ValuesPull.newBuilder()
			.setPrefix(prefix)
			.putAllKnown(known)
			.setWaitMs((int) waitMs)
			.setAgeMs(ageMs)
			.build()
			.toByteArray();
		HttpCall call = new HttpCall("POST", ValueMessages.PATH, List.of(), Duration.ofMillis(waitMs + ANSWER_SLACK_MS),
				IDLE_TIMEOUT, body.length);
		source.client.send(call, body).thenAccept((answer) -> result.complete(taken(source, answer)));
		return result;
	}

	private Optional<ItemSnapshot> taken(Source source, HttpResult answer) {
		Optional<ItemSnapshot> found = decode(source, answer);
		if (found.isPresent() && found.get().connected()) {
			source.failures = 0;
			this.unansweredNanos = 0;
		}
		else {
			source.failed(System.nanoTime());
			unanswered();
		}
		return found;
	}

	private void unanswered() {
		if (this.unansweredNanos == 0) {
			this.unansweredNanos = System.nanoTime();
		}
	}

	private static Optional<ItemSnapshot> decode(Source source, HttpResult result) {
		if (!(result instanceof HttpResult.Answered answered) || answered.head().status() != OK) {
			if (source.failures == 0) {
				logger.atInfo().log("cannot follow %s: %s", source.client.peer(), result);
			}
			return Optional.empty();
		}
		try {
			Values values = Values.parseFrom(answered.body());
			return (values.getRevision() == 0) ? Optional.empty() : Optional.of(ValueMessages.snapshot(values));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			logger.atWarning().log("answer of %s is not usable: %s", source.client.peer(), ex.getMessage());
			return Optional.empty();
		}
	}

	private @Nullable Source choose(FollowOrder now) {
		long nanos = System.nanoTime();
		for (EntryRecord entry : now.sources()) {
			Source source = this.sources.computeIfAbsent(entry.host() + ":" + entry.port(),
					(address) -> new Source(client(entry)));
			if (source.usable(nanos)) {
				return source;
			}
		}
		return null;
	}

	private HttpClient client(EntryRecord entry) {
		return new HttpClient(this.loop, entry.host(), entry.port(), new HttpClientSettings(2, CONNECT_TIMEOUT,
				Duration.ofSeconds(5), 8 << 10, ValueMessages.MAX_MESSAGE_BYTES, false), ConnectionHook.NONE);
	}

	/** A process that may be asked. */
	private static final class Source {

		private final HttpClient client;

		private int failures;

		private long avoidedUntilNanos;

		Source(HttpClient client) {
			this.client = client;
		}

		void failed(long nowNanos) {
			this.avoidedUntilNanos = nowNanos
					+ TimeUnit.MILLISECONDS.toNanos(FIRST_AVOIDANCE_MS << Math.min(this.failures, MOST_DOUBLINGS));
			this.failures++;
		}

		boolean usable(long nowNanos) {
			return this.failures == 0 || nowNanos - this.avoidedUntilNanos >= 0;
		}

	}

}
