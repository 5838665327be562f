package org.baobabknot.gossip;

import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.protocol.Connection;

/**
 * Runs the periodic parts of the dissemination: polls, reads of the store and the
 * detection of pauses.
 */
public final class Gossip {

	private static final long ANSWER_MS = 500;

	private static final int ASKED = 3;

	private final EventLoop loop;

	private final RuleSync rules;

	private final MemberSync members;

	private final StoreWatch watch;

	private final PauseGate pauses;

	private final Peers peers;

	/**
	 * Connects the parts.
	 * @param loop event loop of the timers
	 * @param rules rule sets
	 * @param members member list
	 * @param membership told of changes
	 * @param watch reads of the store
	 * @param pauses gate of new work
	 * @param peers open connections
	 */
	public Gossip(EventLoop loop, RuleSync rules, MemberSync members, MembershipView membership, StoreWatch watch,
			PauseGate pauses, Peers peers) {
		this.loop = loop;
		this.rules = rules;
		this.members = members;
		this.watch = watch;
		this.pauses = pauses;
		this.peers = peers;
		pauses.onPause(this::resumed);
		peers.listen(new PeerListener() {
			@Override
			public void opened(Connection connection) {
				if (!pauses.open()) {
					ask(connection);
				}
			}
		});
		membership.addListener((snapshot) -> watch.membersChanged());
	}

	/**
	 * Reads the store and the member list once and starts the timers.
	 */
	public void start() {
		this.members.poll();
		this.watch.read();
		repeat(this.members::tick, MemberSync.POLL_MS);
		repeat(this.watch::tick, StoreWatch.READ_MS);
		repeat(this.pauses::beat, PauseGate.BEAT_MS);
	}

	/**
	 * Ends the watch; the timers end with their event loop.
	 */
	public void close() {
		this.watch.close();
	}

	// The first run is spread over one interval, so that processes started together do
	// not call the platform together.
	private void repeat(Runnable task, long intervalMs) {
		long first = ThreadLocalRandom.current().nextLong(intervalMs);
		this.loop.scheduleWithFixedDelay(task, first, intervalMs, TimeUnit.MILLISECONDS);
	}

	// During a longer pause the peers have closed their connections, so a lost connection
	// is no answer; the connections opened in their place are asked as well.
	private void resumed() {
		List<Connection> open = this.peers.all();
		Collections.shuffle(open);
		open.stream().limit(ASKED).forEach(this::ask);
		this.loop.schedule(this.pauses::release, ANSWER_MS, TimeUnit.MILLISECONDS);
	}

	private void ask(Connection peer) {
		this.rules.pull(peer).thenAccept((answered) -> {
			if (answered) {
				this.pauses.release();
			}
		});
	}

}
