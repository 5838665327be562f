package org.baobabknot.gossip;

import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.protocol.Connection;

/**
 * Schedules the periodic tasks of the dissemination: polls of the member list, reads of
 * the store and pause detection. After a pause it pulls the rules from peers.
 */
public final class Gossip {

	private static final long MAX_HOLD_MS = 500;

	private static final int MAX_PULLED_PEERS = 3;

	private final EventLoop loop;

	private final RuleSync rules;

	private final MemberSync members;

	private final StoreWatch watch;

	private final PauseGate pauses;

	private final Peers peers;

	/**
	 * Connects the components; {@link #start} starts the timers.
	 * @param loop event loop of the timers
	 * @param rules synchronizes the rules
	 * @param members synchronizes the member list
	 * @param membership source of member list changes
	 * @param watch reads and watches the store
	 * @param pauses holds back new work after a pause
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
		pauses.setPauseListener(this::onPauseDetected);
		peers.addListener(new PeerListener() {
			@Override
			public void onConnectionOpened(Connection connection) {
				if (!pauses.isOpen()) {
					pullRules(connection);
				}
			}
		});
		membership.addListener((snapshot) -> watch.onMembersChanged());
	}

	/**
	 * Reads the store and the member list once and starts the timers.
	 */
	public void start() {
		this.members.poll();
		this.watch.read();
		scheduleRepeatedly(this.members::pollIfNeeded, MemberSync.POLL_INTERVAL_MS);
		scheduleRepeatedly(this.watch::refresh, StoreWatch.READ_INTERVAL_MS);
		scheduleRepeatedly(this.pauses::check, PauseGate.CHECK_INTERVAL_MS);
	}

	/**
	 * Stops the store watch. The timers stop with their event loop.
	 */
	public void close() {
		this.watch.close();
	}

	// The first run has a random delay of up to one interval, so that processes that
	// start together do not call the platform at the same time.
	private void scheduleRepeatedly(Runnable task, long intervalMs) {
		long initialDelayMs = ThreadLocalRandom.current().nextLong(intervalMs);
		this.loop.scheduleWithFixedDelay(task, initialDelayMs, intervalMs, TimeUnit.MILLISECONDS);
	}

	// A lost connection does not count as a response, because peers close their
	// connections during a longer pause. The rules are pulled over the connections opened
	// in their place too.
	private void onPauseDetected() {
		List<Connection> connections = this.peers.connections();
		Collections.shuffle(connections);
		connections.stream().limit(MAX_PULLED_PEERS).forEach(this::pullRules);
		this.loop.schedule(this.pauses::reopen, MAX_HOLD_MS, TimeUnit.MILLISECONDS);
	}

	private void pullRules(Connection peer) {
		this.rules.pull(peer).thenAccept((responded) -> {
			if (responded) {
				this.pauses.reopen();
			}
		});
	}

}
