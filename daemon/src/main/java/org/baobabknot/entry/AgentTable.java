package org.baobabknot.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.gossip.Dialer;
import org.baobabknot.gossip.PeerListener;
import org.baobabknot.hashing.RendezvousHash;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberRole;
import org.baobabknot.membership.MemberSnapshot;
import org.baobabknot.membership.MemberState;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.routing.AgentChoice;
import org.baobabknot.routing.AgentLoadReport;
import org.baobabknot.routing.AgentSubset;
import org.baobabknot.routing.Availability;
import org.baobabknot.routing.Balancer;
import org.baobabknot.routing.RoutingRequest;
import org.jspecify.annotations.Nullable;

/**
 * Connects to the agents that this entry sends requests to, and reports their state to
 * the balancer. Also connects to two entries of each failure domain, so that disseminated
 * state reaches domains with few agents.
 */
final class AgentTable implements PeerListener {

	private static final int PEER_ENTRIES_PER_DOMAIN = 2;

	private final ProcessContext process;

	private final Balancer balancer;

	private final Dialer dialer;

	private final Map<String, List<CompletableFuture<Connection>>> connectionWaiters = new ConcurrentHashMap<>();

	private final Object balancerLock = new Object();

	private volatile boolean everConnected;

	AgentTable(ProcessContext process, Balancer balancer, Dialer dialer) {
		this.process = process;
		this.balancer = balancer;
		this.dialer = dialer;
	}

	void start() {
		this.process.peers().addListener(this);
		this.process.membership().addListener(this::membersChanged);
		this.process.configuration()
			.addListener((adoption) -> this.balancer.domainsOut(adoption.current().rules().domainsOut()));
		this.balancer.domainsOut(this.process.configuration().rules().domainsOut());
		membersChanged(this.process.membership().current());
	}

	/**
	 * Chooses the agent for a request.
	 * @param request criteria of the choice
	 * @param excluded agents that refused the request or failed to run it
	 * @return a connected agent, empty if none accepts requests
	 */
	Optional<AgentChoice> choose(RoutingRequest request, Set<String> excluded) {
		return this.balancer.choose(request, excluded, this.process.nowNanos());
	}

	Optional<Connection> connection(String agent) {
		return this.process.peers().connection(agent).filter(Connection::isOpen);
	}

	Balancer balancer() {
		return this.balancer;
	}

	boolean everConnected() {
		return this.everConnected;
	}

	int connectedAgents() {
		return (int) this.process.peers()
			.connections()
			.stream()
			.filter((connection) -> connection.peerHello().getRole() == Role.AGENT)
			.count();
	}

	/**
	 * Tells whether the service has live agents but none that can be chosen yet, so that
	 * waiting for a connection makes sense. A connection is open shortly before the
	 * balancer can choose its agent.
	 * @param service name of the service
	 * @return false if an agent can be chosen, or if the service has no live agent
	 */
	boolean reconnecting(String service) {
		List<Member> members = this.process.membership().agents(service);
		return members.stream().anyMatch((member) -> member.state() == MemberState.LIVE) && members.stream()
			.noneMatch(
					(member) -> connection(member.instance()).isPresent() && this.balancer.contains(member.instance()));
	}

	void reportLoad(String agent, Load load) {
		this.balancer.update(agent, new AgentLoadReport(load.getRunning(), load.getQueued(), load.getLimit(),
				availability(load), TimeUnit.MICROSECONDS.toNanos(load.getLatencyUs())), this.process.nowNanos());
	}

	/**
	 * Waits for a new connection to an agent after the previous connection was lost.
	 * @param agent instance name of the agent
	 * @param timeoutMs timeout in ms
	 * @return future of the connection; fails after the timeout
	 */
	CompletableFuture<Connection> awaitConnection(String agent, long timeoutMs) {
		Optional<Connection> openConnection = connection(agent);
		if (openConnection.isPresent()) {
			return CompletableFuture.completedFuture(openConnection.get());
		}
		CompletableFuture<Connection> newWaiter = new CompletableFuture<>();
		this.connectionWaiters.compute(agent, (agentName, waiters) -> {
			List<CompletableFuture<Connection>> updatedWaiters = (waiters != null) ? waiters : new ArrayList<>();
			updatedWaiters.removeIf(CompletableFuture::isDone);
			updatedWaiters.add(newWaiter);
			return updatedWaiters;
		});
		connection(agent).ifPresent(newWaiter::complete);
		return newWaiter.orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
	}

	@Override
	public void onConnectionOpened(Connection connection) {
		if (connection.peerHello().getRole() != Role.AGENT) {
			return;
		}
		String agent = connection.peerName();
		Optional<Member> member = this.process.membership().member(agent);
		synchronized (this.balancerLock) {
			this.balancer.add(agent, member.map(Member::service).orElse(""), connection.peerHello().getFailureDomain());
		}
		member.ifPresent((known) -> this.balancer.markLeaving(agent, known.state() != MemberState.LIVE));
		this.everConnected = true;
		List<CompletableFuture<Connection>> waiters = this.connectionWaiters.remove(agent);
		if (waiters != null) {
			waiters.forEach((waiter) -> waiter.complete(connection));
		}
	}

	@Override
	public void onPong(Connection connection, @Nullable Load load) {
		if (load != null) {
			reportLoad(connection.peerName(), load);
		}
	}

	@Override
	public void onConnectionClosed(Connection connection, ConnectionFailure failure) {
		if (connection.peerHello().getRole() != Role.AGENT) {
			return;
		}
		// Another event loop may open a new connection to the agent at the same time.
		synchronized (this.balancerLock) {
			if (connection(connection.peerName()).isPresent()) {
				return;
			}
			this.balancer.remove(connection.peerName());
		}
		this.process.events().record("agent-lost", failure.toString());
	}

	private void membersChanged(MemberSnapshot members) {
		Map<String, Member> wantedMembers = new HashMap<>();
		List<org.baobabknot.routing.Instance> entries = new ArrayList<>();
		Map<String, List<org.baobabknot.routing.Instance>> agents = new HashMap<>();
		for (Member member : members.members()) {
			this.balancer.markLeaving(member.instance(), member.state() != MemberState.LIVE);
			if (member.state() != MemberState.LIVE) {
				continue;
			}
			org.baobabknot.routing.Instance routingNode = new org.baobabknot.routing.Instance(member.instance(),
					member.failureDomain());
			if (member.role() == MemberRole.ENTRY) {
				entries.add(routingNode);
			}
			else {
				agents.computeIfAbsent(member.service(), (service) -> new ArrayList<>()).add(routingNode);
			}
		}
		org.baobabknot.routing.Instance self = new org.baobabknot.routing.Instance(this.process.settings().instance(),
				this.process.settings().failureDomain());
		if (!entries.contains(self)) {
			entries.add(self);
		}
		Set<String> names = new HashSet<>(peerEntries(self, entries));
		agents.values().forEach((serviceAgents) -> names.addAll(AgentSubset.agentsFor(self, entries, serviceAgents)));
		names.forEach((name) -> members.member(name).ifPresent((member) -> wantedMembers.put(name, member)));
		this.dialer.setMembers(wantedMembers);
	}

	private static Collection<String> peerEntries(org.baobabknot.routing.Instance self,
			List<org.baobabknot.routing.Instance> entries) {
		Map<String, List<String>> entriesByDomain = new HashMap<>();
		for (org.baobabknot.routing.Instance entry : entries) {
			if (!entry.equals(self)) {
				entriesByDomain.computeIfAbsent(entry.failureDomain(), (domain) -> new ArrayList<>()).add(entry.name());
			}
		}
		Set<String> chosenEntries = new HashSet<>();
		entriesByDomain.values()
			.forEach((names) -> RendezvousHash.rank(self.name(), names, (name) -> name)
				.stream()
				.limit(PEER_ENTRIES_PER_DOMAIN)
				.forEach(chosenEntries::add));
		return chosenEntries;
	}

	private static Availability availability(Load load) {
		return switch (load.getAdmission()) {
			case SWITCHING -> Availability.SWITCHING;
			case LEAVING -> Availability.LEAVING;
			case UNAVAILABLE -> Availability.UNAVAILABLE;
			case DOMAIN_OUT -> Availability.DOMAIN_OUT;
			default -> Availability.OPEN;
		};
	}

}
