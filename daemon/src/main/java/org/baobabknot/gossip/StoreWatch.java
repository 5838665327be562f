package org.baobabknot.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.hashing.RendezvousHash;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberState;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.retry.CallPacer;
import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.StoredValue;
import org.baobabknot.store.WatchResult;
import org.jspecify.annotations.Nullable;

/**
 * Reads the rules from the store. The 2 highest-ranked live entries of a failure domain
 * keep one watch each and also read every 5 s, in case the watch misses a change. Every
 * other process reads once at its start, and again only while it is not connected to a
 * peer.
 */
public final class StoreWatch {

	/** Interval of the reads that supplement a watch. */
	static final long READ_INTERVAL_MS = 5_000;

	private static final int WATCHERS_PER_DOMAIN = 2;

	private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(10);

	private static final long MIN_PAUSE_MS = 500;

	private static final long MAX_PAUSE_MS = 5_000;

	private static final int PAUSE_FACTOR = 2;

	/** A watch may end this much too early, because the store's clock is rounded. */
	private static final long WAIT_SLACK_MS = 100;

	private static final long NO_PEER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final ConfigurationStore store;

	private final MembershipView membership;

	private final RuleSync rules;

	private final Peers peers;

	private final ProcessIdentity identity;

	private final EventLoop loop;

	private final Ticker ticker;

	private final CallPacer pacer = new CallPacer(MIN_PAUSE_MS, MAX_PAUSE_MS, PAUSE_FACTOR);

	private final AtomicBoolean watchRunning = new AtomicBoolean();

	private volatile long latestVersion;

	private byte[] latestValue = new byte[0];

	private volatile long lastPeerNanos;

	private volatile boolean closed;

	/**
	 * Creates a watch, which starts with the first call of {@link #refresh}.
	 * @param store the store
	 * @param membership source of the live entries
	 * @param rules adopts the rules that were read
	 * @param peers open connections
	 * @param identity this process
	 * @param loop event loop for continuing the watch
	 * @param ticker monotonic clock
	 */
	public StoreWatch(ConfigurationStore store, MembershipView membership, RuleSync rules, Peers peers,
			ProcessIdentity identity, EventLoop loop, Ticker ticker) {
		this.store = store;
		this.membership = membership;
		this.rules = rules;
		this.peers = peers;
		this.identity = identity;
		this.loop = loop;
		this.ticker = ticker;
		this.lastPeerNanos = ticker.nanoTime();
	}

	/**
	 * Reads the rules if this process is a watcher or has had no peer for 5 s, and starts
	 * the watch of a watcher if it is not running. Called every 5 s.
	 */
	public void refresh() {
		long now = this.ticker.nanoTime();
		if (this.peers.connectionCount() > 0) {
			this.lastPeerNanos = now;
		}
		boolean isWatcher = isWatcher();
		if (isWatcher || now - this.lastPeerNanos >= NO_PEER_TIMEOUT_NANOS) {
			read();
		}
		startWatch(isWatcher);
	}

	/**
	 * Starts the watch after a change of the member list if this process has become a
	 * watcher.
	 */
	public void onMembersChanged() {
		startWatch(isWatcher());
	}

	/**
	 * Reads the rules once.
	 */
	public void read() {
		this.store.read(RulesDocument.KEY).thenAccept((result) -> {
			if (result instanceof ReadResult.Found found) {
				adoptIfChanged(found.value(), "store");
			}
		});
	}

	/**
	 * Whether this process is one of the watchers of its failure domain.
	 * @return true for one of the 2 highest-ranked entries
	 */
	public boolean isWatcher() {
		if (!this.identity.isEntry()) {
			return false;
		}
		List<String> names = new ArrayList<>();
		for (Member member : this.membership.entries(this.identity.failureDomain())) {
			if (member.state() == MemberState.LIVE && !member.instance().equals(this.identity.instance())) {
				names.add(member.instance());
			}
		}
		names.add(this.identity.instance());
		return RendezvousHash.rank(RulesDocument.KEY, names, (name) -> name)
			.stream()
			.limit(WATCHERS_PER_DOMAIN)
			.anyMatch(this.identity.instance()::equals);
	}

	/**
	 * Stops the watch after its current call to the store.
	 */
	public void close() {
		this.closed = true;
	}

	private void startWatch(boolean isWatcher) {
		if (isWatcher && !this.closed && this.watchRunning.compareAndSet(false, true)) {
			watch();
		}
	}

	private void watch() {
		long sentNanos = this.ticker.nanoTime();
		this.store.watch(RulesDocument.KEY, this.latestVersion, MAX_WATCH_WAIT)
			.whenComplete((result, error) -> this.loop.execute(() -> continueAfter(result, sentNanos)));
	}

	private void continueAfter(@Nullable WatchResult result, long sentNanos) {
		boolean changed = result instanceof WatchResult.Changed change && adoptIfChanged(change.value(), "store watch");
		boolean waited = result instanceof WatchResult.Unchanged && this.ticker.nanoTime()
				- sentNanos >= MAX_WATCH_WAIT.toNanos() - TimeUnit.MILLISECONDS.toNanos(WAIT_SLACK_MS);
		if (changed || waited) {
			this.pacer.recordProgress();
			continueWatch();
		}
		else {
			this.loop.schedule(this::continueWatch, this.pacer.pauseAfterNoProgress(), TimeUnit.MILLISECONDS);
		}
	}

	private void continueWatch() {
		if (this.closed || !isWatcher()) {
			this.watchRunning.set(false);
			return;
		}
		watch();
	}

	// A lower version than before, or other rules at the same one, show that the store
	// was
	// restored from a copy. Whether its rules are newer is decided by their revision.
	private boolean adoptIfChanged(StoredValue value, String source) {
		synchronized (this) {
			if (value.version() == this.latestVersion && Arrays.equals(value.value(), this.latestValue)) {
				return false;
			}
			this.latestVersion = value.version();
			this.latestValue = value.value();
		}
		this.rules.tryAdopt(value.value(), source);
		return true;
	}

}
