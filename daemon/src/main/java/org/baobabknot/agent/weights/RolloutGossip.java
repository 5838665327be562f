package org.baobabknot.agent.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.baobabknot.daemon.Node;
import org.baobabknot.gossip.Dialer;
import org.baobabknot.gossip.PeerListener;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.rollout.RolloutDelta;
import org.baobabknot.rollout.RolloutEntry;
import org.baobabknot.rollout.RolloutTable;

/**
 * Keeps connections between the agents of one group and exchanges rollout entries on
 * them. Only changes are sent; a new connection starts with everything.
 */
final class RolloutGossip implements PeerListener {

	private final Node node;

	private final String service;

	private final RolloutTable view;

	private final Runnable news;

	private final Dialer dialer;

	private final Map<Connection, Long> stamps = new ConcurrentHashMap<>();

	RolloutGossip(Node node, String service, RolloutTable view, Runnable news) {
		this.node = node;
		this.service = service;
		this.view = view;
		this.news = news;
		Connector connector = new Connector(node.group(), node.connections(), node.local(), node.clientTls(),
				node.counters());
		this.dialer = new Dialer(connector, node.listener(), node.group().next());
		node.streams().onMessage(Frame.BodyCase.ROLLOUT_UPDATE, this::received);
		node.peers().listen(this);
	}

	// Connects to the agents of the group. Of each pair, the one that comes first in
	// order of name dials.
	void follow(Collection<Member> group) {
		Map<String, Member> wanted = new ConcurrentHashMap<>();
		String self = this.node.settings().instance();
		group.stream()
			.filter((member) -> member.instance().compareTo(self) > 0)
			.forEach((member) -> wanted.put(member.instance(), member));
		this.dialer.want(wanted);
	}

	// Sends every connected agent of the group what it lacks.
	void send(Collection<String> group) {
		for (String instance : group) {
			Optional<Connection> connection = this.node.peers().connection(instance);
			connection.ifPresent((open) -> send(instance, open));
		}
	}

	private void send(String instance, Connection connection) {
		RolloutDelta delta = this.view.delta(instance, this.stamps.getOrDefault(connection, 0L));
		if (delta.entries().isEmpty()) {
			return;
		}
		this.stamps.put(connection, delta.stamp());
		if (!connection.isOpen()) {
			this.stamps.remove(connection);
		}
		connection.send(Frame.newBuilder()
			.setRolloutUpdate(
					RolloutMessages.message(this.service, this.node.settings().failureDomain(), delta.entries())));
	}

	private void received(Connection connection, Frame frame) {
		List<RolloutEntry> entries = new ArrayList<>(
				RolloutMessages.entries(this.service, this.node.settings().failureDomain(), frame.getRolloutUpdate()));
		this.view.merge(connection.peerHello().getInstance(), entries, this.node.now());
		this.news.run();
	}

	@Override
	public void closed(Connection connection, Failure failure) {
		this.stamps.remove(connection);
	}

	void close() {
		this.dialer.close();
	}

}
