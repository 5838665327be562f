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
import org.baobabknot.fleet.SourceTiming;
import org.baobabknot.fleet.ValueSources;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.httpclient.HttpResult;
import org.baobabknot.mirror.KnownRevisions;
import org.baobabknot.protocol.generated.Values;
import org.baobabknot.protocol.generated.ValuesPull;
import org.baobabknot.provider.ItemRelay;
import org.baobabknot.provider.ItemSnapshot;
import org.jspecify.annotations.Nullable;

/**
 * Requests the values that operators have stored from other processes. A source that
 * fails is skipped for a time that doubles with each failure. If no source is usable, the
 * process reads from the store itself. Confined to one event loop.
 */
public final class ValueRelay implements ItemRelay {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** A process of the same region usually accepts a connection within a few ms. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	/** Maximum time without bytes within a response. */
	private static final Duration IDLE_TIMEOUT = Duration.ofMillis(700);

	/**
	 * Time for which a source is skipped after its first failure, so that the others are
	 * tried before it.
	 */
	private static final long INITIAL_BACKOFF_MS = 1_200;

	private static final int MAX_BACKOFF_DOUBLINGS = 3;

	/** Delay before the next poll while no source is usable. */
	private static final long RETRY_DELAY_MS = 50;

	/**
	 * Time between the fallbacks of consecutive processes of a region, so that they do
	 * not read from the store at the same moment.
	 */
	private static final long STORE_FALLBACK_STEP_MS = 20;

	/** Limit of the steps, so that the last process still confirms its keys in time. */
	private static final int MAX_STORE_FALLBACK_STEPS = 15;

	/** Sources that are asked in turn while none is usable. */
	private static final int ASKED_SOURCES = 2;

	private static final int STATUS_OK = 200;

	private final EventLoop loop;

	private final Supplier<ValueSources> followOrder;

	private final Map<String, Source> sources = new HashMap<>();

	private final SourceTiming timing;

	/** Whether the last response was not usable. */
	private boolean searching;

	/** Time of the last usable response, or of the first poll. */
	private long usableNanos;

	private boolean polled;

	private int asked;

	/**
	 * Creates a relay.
	 * @param loop event loop
	 * @param timing times for which sources are waited for
	 * @param followOrder supplies the sources of this process, best first
	 */
	public ValueRelay(EventLoop loop, SourceTiming timing, Supplier<ValueSources> followOrder) {
		this.loop = loop;
		this.timing = timing;
		this.followOrder = followOrder;
	}

	@Override
	public boolean shouldReadStore() {
		ValueSources now = this.followOrder.get();
		if (now.sources().isEmpty()) {
			return true;
		}
		if (!this.searching || chooseSource(now) != null) {
			return false;
		}
		long patienceMs = this.timing.patienceMs()
				+ STORE_FALLBACK_STEP_MS * Math.min(now.rank(), MAX_STORE_FALLBACK_STEPS);
		return System.nanoTime() - this.usableNanos > TimeUnit.MILLISECONDS.toNanos(patienceMs);
	}

	@Override
	public boolean hasSources() {
		return !this.followOrder.get().sources().isEmpty();
	}

	@Override
	public boolean hasUsableSource() {
		return chooseSource(this.followOrder.get()) != null;
	}

	@Override
	public void onStoreReached() {
		recordUsable();
		this.sources.values().forEach((source) -> source.failures = 0);
	}

	@Override
	public CompletableFuture<Optional<ItemSnapshot>> poll(String prefix, KnownRevisions known, long waitMs,
			long ageMs) {
		if (!this.polled) {
			recordUsable();
		}
		Source source = chooseSource(this.followOrder.get());
		CompletableFuture<Optional<ItemSnapshot>> result = new CompletableFuture<>();
		if (source == null) {
			this.searching = true;
			this.loop.schedule(() -> result.complete(Optional.empty()), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
			return result;
		}
		long sourceWaitMs = Math.min(waitMs, (this.searching) ? this.timing.searchWaitMs() : this.timing.waitMs());
		send(source, prefix, known, sourceWaitMs, ageMs)
			.thenAccept((response) -> result.complete(handleResponse(source, response, known.era())));
		return result;
	}

	// The sources that come first usually reach the store first.
	@Override
	public CompletableFuture<Optional<ItemSnapshot>> ask(String prefix, KnownRevisions known) {
		List<EntryRecord> first = this.followOrder.get().sources().stream().limit(ASKED_SOURCES).toList();
		if (first.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		Source source = source(first.get(Math.floorMod(this.asked++, first.size())));
		return send(source, prefix, known, 0, Long.MAX_VALUE).thenApply((response) -> {
			Optional<ItemSnapshot> snapshot = decode(source, response)
				.filter((each) -> each.position().era() >= known.era() && isUsable(each));
			if (snapshot.isPresent()) {
				source.failures = 0;
				recordUsable();
			}
			return snapshot;
		});
	}

	private CompletableFuture<HttpResult> send(Source source, String prefix, KnownRevisions known, long waitMs,
			long ageMs) {
		byte[] body = ValuesPull.newBuilder()
			.setPrefix(prefix)
			.setEra(known.era())
			.putAllKnown(known.revisions())
			.setWaitMs((int) waitMs)
			.setAgeMs(ageMs)
			.build()
			.toByteArray();
		HttpCall call = new HttpCall("POST", ValueMessages.PATH, List.of(),
				Duration.ofMillis(waitMs + this.timing.marginMs()), IDLE_TIMEOUT, body.length);
		return source.client.send(call, body);
	}

	// A source of an earlier era knows less than this process.
	private Optional<ItemSnapshot> handleResponse(Source source, HttpResult response, long era) {
		Optional<ItemSnapshot> snapshot = decode(source, response).filter((each) -> each.position().era() >= era);
		if (snapshot.isPresent() && isUsable(snapshot.get())) {
			source.failures = 0;
			recordUsable();
		}
		else {
			source.recordFailure(System.nanoTime());
			this.searching = true;
		}
		return snapshot;
	}

	// A source that responds and whose values only grow older may itself have lost the
	// store, or follow this process.
	private boolean isUsable(ItemSnapshot snapshot) {
		return snapshot.connected() && (snapshot.ageMs() <= this.timing.maxAgeMs() || snapshot.receiving());
	}

	private void recordUsable() {
		this.polled = true;
		this.searching = false;
		this.usableNanos = System.nanoTime();
	}

	private static Optional<ItemSnapshot> decode(Source source, HttpResult result) {
		if (!(result instanceof HttpResult.Response answered) || answered.head().status() != STATUS_OK) {
			if (source.failures == 0) {
				logger.atInfo().log("cannot read values from %s: %s", source.client.peer(), result);
			}
			return Optional.empty();
		}
		try {
			Values values = Values.parseFrom(answered.body());
			return (values.getRevision() == 0) ? Optional.empty() : Optional.of(ValueMessages.toSnapshot(values));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			logger.atWarning().log("malformed values from %s: %s", source.client.peer(), ex.getMessage());
			return Optional.empty();
		}
	}

	private @Nullable Source chooseSource(ValueSources currentOrder) {
		long nowNanos = System.nanoTime();
		for (EntryRecord entry : currentOrder.sources()) {
			Source source = source(entry);
			if (source.isUsable(nowNanos)) {
				return source;
			}
		}
		return null;
	}

	private Source source(EntryRecord entry) {
		return this.sources.computeIfAbsent(entry.host() + ":" + entry.port(), (address) -> new Source(client(entry)));
	}

	private HttpClient client(EntryRecord entry) {
		return new HttpClient(this.loop, entry.host(), entry.port(), new HttpClientSettings(2, CONNECT_TIMEOUT,
				Duration.ofSeconds(5), 8 << 10, ValueMessages.MAX_MESSAGE_BYTES, false), ConnectionHook.NONE);
	}

	/** A process from which values can be requested, and its recent failures. */
	private static final class Source {

		private final HttpClient client;

		private int failures;

		private long backoffUntilNanos;

		Source(HttpClient client) {
			this.client = client;
		}

		void recordFailure(long nowNanos) {
			this.backoffUntilNanos = nowNanos + TimeUnit.MILLISECONDS
				.toNanos(INITIAL_BACKOFF_MS << Math.min(this.failures, MAX_BACKOFF_DOUBLINGS));
			this.failures++;
		}

		boolean isUsable(long nowNanos) {
			return this.failures == 0 || nowNanos - this.backoffUntilNanos >= 0;
		}

	}

}
