package org.baobabknot.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.hashing.RendezvousHash;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberState;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.StoredValue;
import org.baobabknot.store.WatchResult;

/**
 * Reads the rules from the store. The 2 highest-ranked live entries of a failure domain
 * keep one watch each and back it up with a read every 5 s; every other process reads
 * once at its start, and again only while it has no peer to learn from.
 */
public final class StoreWatch {

	/** Interval of the reads that back up a watch. */
	static final long READ_MS = 5_000;

	private static final int WATCHERS = 2;

	private static final Duration WAIT = Duration.ofSeconds(10);

	private static final long RETRY_MS = 500;

	private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final ConfigurationStore store;

	private final MembershipView membership;

	private final RuleSync rules;

	private final Peers peers;

	private final Self self;

	private final EventLoop loop;

	private final Ticker ticker;

	private final AtomicBoolean watching = new AtomicBoolean();

	private volatile long version;

	private volatile long lastPeer;

	private volatile boolean closed;

	/**
	 * Creates a watch; it starts with the first {@link #tick}.
	 * @param store the store
	 * @param membership known entries
	 * @param rules adopts what was read
	 * @param peers open connections
	 * @param self this process
	 * @param loop event loop of retries
	 * @param ticker monotonic clock
	 */
	public StoreWatch(ConfigurationStore store, MembershipView membership, RuleSync rules, Peers peers, Self self,
			EventLoop loop, Ticker ticker) {
		this.store = store;
		this.membership = membership;
		this.rules = rules;
		this.peers = peers;
		this.self = self;
		this.loop = loop;
		this.ticker = ticker;
		this.lastPeer = ticker.nanoTime();
	}

	/**
	 * Called every 5 s and after changes of the member list: reads if this process has
	 * to, and starts the watch if it is not running.
	 */
	public void tick() {
		long now = this.ticker.nanoTime();
		if (this.peers.count() > 0) {
			this.lastPeer = now;
		}
		boolean watcher = watches();
		if (watcher || now - this.lastPeer >= ALONE_NANOS) {
			read();
		}
		startWatch(watcher);
	}

	/**
	 * Starts the watch after a change of the member list if this process has become a
	 * watcher.
	 */
	public void membersChanged() {
		startWatch(watches());
	}

	/**
	 * Reads the rules once.
	 */
	public void read() {
		this.store.read(RulesDocument.KEY).thenAccept((result) -> {
			if (result instanceof ReadResult.Found found) {
				take(found.value(), "store");
			}
		});
	}

	/**
	 * Whether this process is one of the watchers of its failure domain.
	 * @return true for an entry that ranks among the first 2
	 */
	public boolean watches() {
		if (!this.self.entry()) {
			return false;
		}
		List<String> names = new ArrayList<>();
		for (Member member : this.membership.entries(this.self.failureDomain())) {
			if (member.state() == MemberState.LIVE && !member.instance().equals(this.self.instance())) {
				names.add(member.instance());
			}
		}
		names.add(this.self.instance());
		return RendezvousHash.rank(RulesDocument.KEY, names, (name) -> name)
			.stream()
			.limit(WATCHERS)
			.anyMatch(this.self.instance()::equals);
	}

	/**
	 * Ends the watch.
	 */
	public void close() {
		this.closed = true;
	}

	private void startWatch(boolean watcher) {
		if (watcher && !this.closed && this.watching.compareAndSet(false, true)) {
			watch();
		}
	}

	private void watch() {
		this.store.watch(RulesDocument.KEY, this.version, WAIT).whenComplete((result, error) -> {
			if (result instanceof WatchResult.Changed changed) {
				take(changed.value(), "store watch");
			}
			long delay = (result instanceof WatchResult.Failed || error != null) ? RETRY_MS : 0;
			this.loop.schedule(this::watchAgain, delay, TimeUnit.MILLISECONDS);
		});
	}

	private void watchAgain() {
		if (this.closed || !watches()) {
			this.watching.set(false);
			return;
		}
		watch();
	}

	private void take(StoredValue value, String source) {
		synchronized (this) {
			if (value.version() <= this.version) {
				return;
			}
			this.version = value.version();
		}
		this.rules.tryAdopt(value.value(), source);
	}

}
