package org.baobabknot.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.baobabknot.protocol.Connection;
import org.baobabknot.routing.AgentChoice;

/**
 * Chooses the agents for the attempts of one request.
 */
final class AgentCandidates {

	/** Interval at which a request without a connected agent tries to choose one. */
	static final long RECONNECT_POLL_MS = 20;

	// 50 polls of 20 ms take 1 s, in which a live agent replaces a lost connection.
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
	 * @param reconsiderExcluded whether to choose among excluded agents when no other is
	 * left; an agent that failed may be the only one of its service, whereas an agent
	 * that refused would refuse again
	 * @return connection to the agent, empty if no agent can be chosen
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
	 * Decides whether to wait for an agent: while the connections to the only agents of
	 * the service are being replaced, or if one was replaced since the last choice.
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
		Optional<AgentChoice> choice = this.forwarder.chooseAgent(this.request, this.body, this.excluded);
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
