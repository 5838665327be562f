package org.baobabknot.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.baobabknot.protocol.Connection;
import org.baobabknot.routing.Choice;

/**
 * The agents that one request may still be sent to.
 */
final class AgentCandidates {

	/** Interval at which a request without a connected agent looks again. */
	static final long RECONNECT_POLL_MS = 20;

	// Together 1 s, within which a lost connection is replaced if the agent is alive.
	private static final int MAX_RECONNECT_POLLS = 50;

	private final RequestForwarder forwarder;

	private final CallerRequest request;

	private final RequestBody body;

	private final Set<String> excluded = new HashSet<>();

	private int reconnectPolls;

	AgentCandidates(RequestForwarder forwarder, CallerRequest request, RequestBody body) {
		this.forwarder = forwarder;
		this.request = request;
		this.body = body;
	}

	void exclude(String agent) {
		this.excluded.add(agent);
	}

	/**
	 * Chooses a connected agent.
	 * @param reconsiderExcluded whether excluded agents are considered when no other is
	 * left; an agent that failed may be the only one of its service, whereas one that
	 * refused would refuse again
	 * @return its connection, empty if there is none
	 */
	Optional<Connection> chooseConnection(boolean reconsiderExcluded) {
		Optional<Connection> chosen = chooseOnce();
		if (chosen.isPresent() || !reconsiderExcluded || this.excluded.isEmpty()) {
			return chosen;
		}
		this.excluded.clear();
		return chooseOnce();
	}

	/**
	 * Decides whether to wait while the connections to the only agents of the service are
	 * being replaced, or because one was replaced since the last look.
	 * @return true to call {@link #chooseConnection} again after
	 * {@link #RECONNECT_POLL_MS}
	 */
	boolean tryWait() {
		if (this.reconnectPolls >= MAX_RECONNECT_POLLS) {
			return false;
		}
		this.reconnectPolls++;
		boolean reconnecting = this.forwarder.reconnecting(this.request.service());
		this.excluded.clear();
		return reconnecting || chooseOnce().isPresent();
	}

	private Optional<Connection> chooseOnce() {
		Optional<Choice> choice = this.forwarder.chooseAgent(this.request, this.body, this.excluded);
		while (choice.isPresent()) {
			Optional<Connection> connection = this.forwarder.connection(choice.get().agent());
			if (connection.isPresent()) {
				return connection;
			}
			this.excluded.add(choice.get().agent());
			choice = this.forwarder.chooseAgent(this.request, this.body, this.excluded);
		}
		return Optional.empty();
	}

}
