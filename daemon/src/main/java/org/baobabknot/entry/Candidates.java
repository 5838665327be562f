package org.baobabknot.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.baobabknot.protocol.Connection;
import org.baobabknot.routing.AgentChoice;

/**
 * The agents that one request may still be sent to.
 */
final class Candidates {

	/** Interval at which a request without a connected agent looks again. */
	static final long WAIT_MS = 20;

	// Together 1 s, within which a lost connection is replaced if the agent is alive.
	private static final int WAITS = 50;

	private final Forwarding forwarding;

	private final CallerRequest request;

	private final RequestBody body;

	private final Set<String> excluded = new HashSet<>();

	private int waits;

	Candidates(Forwarding forwarding, CallerRequest request, RequestBody body) {
		this.forwarding = forwarding;
		this.request = request;
		this.body = body;
	}

	void exclude(String agent) {
		this.excluded.add(agent);
	}

	/**
	 * Chooses a connected agent.
	 * @param secondPass whether excluded agents are considered when no other is left; an
	 * agent that failed may be the only one of its service, whereas one that refused
	 * would refuse again
	 * @return its connection, empty if there is none
	 */
	Optional<Connection> connect(boolean secondPass) {
		Optional<Connection> first = connectOnce();
		if (first.isPresent() || !secondPass || this.excluded.isEmpty()) {
			return first;
		}
		this.excluded.clear();
		return connectOnce();
	}

	/**
	 * Decides whether to wait while the connections to the only agents of the service are
	 * being replaced, or because one was replaced since the last look.
	 * @return true to call {@link #connect} again after {@link #WAIT_MS}
	 */
	boolean tryWait() {
		if (this.waits >= WAITS) {
			return false;
		}
		this.waits++;
		boolean reconnecting = this.forwarding.reconnecting(this.request.service());
		this.excluded.clear();
		return reconnecting || connectOnce().isPresent();
	}

	private Optional<Connection> connectOnce() {
		Optional<AgentChoice> choice = this.forwarding.choose(this.request, this.body, this.excluded);
		while (choice.isPresent()) {
			Optional<Connection> connection = this.forwarding.connection(choice.get().agent());
			if (connection.isPresent()) {
				return connection;
			}
			this.excluded.add(choice.get().agent());
			choice = this.forwarding.choose(this.request, this.body, this.excluded);
		}
		return Optional.empty();
	}

}
