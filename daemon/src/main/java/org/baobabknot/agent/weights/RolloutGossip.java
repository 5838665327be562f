package org.baobabknot.agent.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.gossip.Dialer;
import org.baobabknot.gossip.PeerListener;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.rollout.RolloutDelta;
import org.baobabknot.rollout.RolloutEntry;
import org.baobabknot.rollout.RolloutTable;

/**
 * Maintains connections between the agents of one group (same service and failure domain)
 * and exchanges rollout entries over them. Sends only changed entries, and all entries on
 * a new connection.
 */
final class RolloutGossip implements PeerListener {

	private final ProcessContext process;

	private final String service;

	private final RolloutTable rolloutTable;

	private final Runnable onChange;

	private final Dialer dialer;

	private final Map<Connection, Long> sentStamps = new ConcurrentHashMap<>();

	RolloutGossip(ProcessContext process, String service, RolloutTable rolloutTable, Runnable onChange) {
		this.process = process;
		this.service = service;
		this.rolloutTable = rolloutTable;
		this.onChange = onChange;
		Connector connector = new Connector(process.group(), process.connectionSettings(), process.localState(),
				process.clientTls(), process.counters());
		this.dialer = new Dialer(connector, process.connectionListener(), process.group().next());
		process.streams().addMessageHandler(Frame.BodyCase.ROLLOUT_UPDATE, this::onUpdate);
		process.peers().addListener(this);
	}

	// Connects to the agents of the group. In each pair of agents, the one whose instance
	// name sorts first opens the connection.
	void connectToGroup(Collection<Member> group) {
		Map<String, Member> wanted = new ConcurrentHashMap<>();
		String self = this.process.settings().instance();
		group.stream()
			.filter((member) -> member.instance().compareTo(self) > 0)
			.forEach((member) -> wanted.put(member.instance(), member));
		this.dialer.setMembers(wanted);
	}

	// Sends each connected agent of the group the entries that it has not been sent yet.
	void send(Collection<String> group) {
		for (String instance : group) {
			Optional<Connection> connection = this.process.peers().connection(instance);
			connection.ifPresent((open) -> send(instance, open));
		}
	}

	private void send(String instance, Connection connection) {
		RolloutDelta delta = this.rolloutTable.delta(instance, this.sentStamps.getOrDefault(connection, 0L));
		if (delta.entries().isEmpty()) {
			return;
		}
		this.sentStamps.put(connection, delta.stamp());
		if (!connection.isOpen()) {
			this.sentStamps.remove(connection);
		}
		connection.send(Frame.newBuilder()
			.setRolloutUpdate(
					RolloutMessages.toMessage(this.service, this.process.settings().failureDomain(), delta.entries())));
	}

	private void onUpdate(Connection connection, Frame frame) {
		List<RolloutEntry> entries = new ArrayList<>(RolloutMessages.toEntries(this.service,
				this.process.settings().failureDomain(), frame.getRolloutUpdate()));
		this.rolloutTable.merge(connection.peerHello().getInstance(), entries, this.process.nowNanos());
		this.onChange.run();
	}

	@Override
	public void onConnectionClosed(Connection connection, ConnectionFailure failure) {
		this.sentStamps.remove(connection);
	}

	void close() {
		this.dialer.close();
	}

}
