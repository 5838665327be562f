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

import org.baobabknot.daemon.Node;
import org.baobabknot.gossip.Dialer;
import org.baobabknot.gossip.PeerListener;
import org.baobabknot.hashing.RendezvousHash;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberRole;
import org.baobabknot.membership.MemberSnapshot;
import org.baobabknot.membership.MemberState;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.routing.Availability;
import org.baobabknot.routing.Balancer;
import org.baobabknot.routing.Choice;
import org.baobabknot.routing.LoadReport;
import org.baobabknot.routing.RoutingRequest;
import org.baobabknot.routing.Subset;
import org.jspecify.annotations.Nullable;

/**
 * The agents that this entry is connected to, and two entries of each failure domain,
 * which carry the dissemination to domains with few agents.
 */
final class AgentTable implements PeerListener {

	private static final int PEER_ENTRIES = 2;

	private final Node node;

	private final Balancer balancer;

	private final Dialer dialer;

	private final Map<String, List<CompletableFuture<Connection>>> waiting = new ConcurrentHashMap<>();

	private final Object changing = new Object();

	private volatile boolean everConnected;

	AgentTable(Node node, Balancer balancer, Dialer dialer) {
		this.node = node;
		this.balancer = balancer;
		this.dialer = dialer;
	}

	void start() {
		this.node.peers().listen(this);
		this.node.membership().listen(this::refresh);
		this.node.configuration().listen((adopted) -> this.balancer.domainsOut(adopted.adopted().rules().domainsOut()));
		this.balancer.domainsOut(this.node.configuration().rules().domainsOut());
		refresh(this.node.membership().current());
	}

	/**
	 * Chooses the agent of a request.
	 * @param request what the choice depends on
	 * @param excluded agents that refused or failed it
	 * @return a connected agent, empty if none accepts requests
	 */
	Optional<Choice> choose(RoutingRequest request, Set<String> excluded) {
		return this.balancer.choose(request, excluded, this.node.now());
	}

	Optional<Connection> connection(String agent) {
		return this.node.peers().connection(agent).filter(Connection::isOpen);
	}

	Balancer balancer() {
		return this.balancer;
	}

	boolean everConnected() {
		return this.everConnected;
	}

	int connectedAgents() {
		return (int) this.node.peers()
			.all()
			.stream()
			.filter((connection) -> connection.peerHello().getRole() == Role.AGENT)
			.count();
	}

	/**
	 * Whether the service has live agents of which none can be chosen yet, so that
	 * waiting for a connection makes sense. A connection is open shortly before its agent
	 * can be chosen.
	 * @param service the service
	 * @return false if an agent can be chosen, or if there is none
	 */
	boolean reconnecting(String service) {
		List<Member> members = this.node.membership().agents(service);
		return members.stream().anyMatch((member) -> member.state() == MemberState.LIVE) && members.stream()
			.noneMatch((member) -> connection(member.instance()).isPresent() && this.balancer.knows(member.instance()));
	}

	void report(String agent, Load load) {
		this.balancer.update(agent, new LoadReport(load.getRunning(), load.getQueued(), load.getLimit(),
				availability(load), TimeUnit.MICROSECONDS.toNanos(load.getLatencyUs())), this.node.now());
	}

	/**
	 * Waits for a connection to an agent after the last one was lost.
	 * @param agent the agent
	 * @param timeoutMs longest wait
	 * @return the connection; completed exceptionally after the timeout
	 */
	CompletableFuture<Connection> await(String agent, long timeoutMs) {
		Optional<Connection> open = connection(agent);
		if (open.isPresent()) {
			return CompletableFuture.completedFuture(open.get());
		}
		CompletableFuture<Connection> wait = new CompletableFuture<>();
		this.waiting.compute(agent, (name, waiters) -> {
			List<CompletableFuture<Connection>> changed = (waiters != null) ? waiters : new ArrayList<>();
			changed.removeIf(CompletableFuture::isDone);
			changed.add(wait);
			return changed;
		});
		connection(agent).ifPresent(wait::complete);
		return wait.orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
	}

	@Override
	public void opened(Connection connection) {
		if (connection.peerHello().getRole() != Role.AGENT) {
			return;
		}
		String agent = connection.peerName();
		Optional<Member> member = this.node.membership().member(agent);
		synchronized (this.changing) {
			this.balancer.add(agent, member.map(Member::service).orElse(""), connection.peerHello().getFailureDomain());
		}
		member.ifPresent((known) -> this.balancer.leaving(agent, known.state() != MemberState.LIVE));
		this.everConnected = true;
		List<CompletableFuture<Connection>> waiters = this.waiting.remove(agent);
		if (waiters != null) {
			waiters.forEach((waiter) -> waiter.complete(connection));
		}
	}

	@Override
	public void pong(Connection connection, @Nullable Load load) {
		if (load != null) {
			report(connection.peerName(), load);
		}
	}

	@Override
	public void closed(Connection connection, Failure failure) {
		if (connection.peerHello().getRole() != Role.AGENT) {
			return;
		}
		// A new connection of the agent may open on another event loop.
		synchronized (this.changing) {
			if (connection(connection.peerName()).isPresent()) {
				return;
			}
			this.balancer.remove(connection.peerName());
		}
		this.node.events().record("agent-lost", failure.toString());
	}

	private void refresh(MemberSnapshot members) {
		Map<String, Member> wanted = new HashMap<>();
		List<org.baobabknot.routing.Node> entries = new ArrayList<>();
		Map<String, List<org.baobabknot.routing.Node>> agents = new HashMap<>();
		for (Member member : members.live()) {
			this.balancer.leaving(member.instance(), member.state() != MemberState.LIVE);
			if (member.state() != MemberState.LIVE) {
				continue;
			}
			org.baobabknot.routing.Node named = new org.baobabknot.routing.Node(member.instance(),
					member.failureDomain());
			if (member.role() == MemberRole.ENTRY) {
				entries.add(named);
			}
			else {
				agents.computeIfAbsent(member.service(), (service) -> new ArrayList<>()).add(named);
			}
		}
		org.baobabknot.routing.Node self = new org.baobabknot.routing.Node(this.node.settings().instance(),
				this.node.settings().failureDomain());
		if (!entries.contains(self)) {
			entries.add(self);
		}
		Set<String> names = new HashSet<>(peerEntries(self, entries));
		agents.values().forEach((ofService) -> names.addAll(Subset.agentsFor(self, entries, ofService)));
		names.forEach((name) -> members.member(name).ifPresent((member) -> wanted.put(name, member)));
		this.dialer.want(wanted);
	}

	private static Collection<String> peerEntries(org.baobabknot.routing.Node self,
			List<org.baobabknot.routing.Node> entries) {
		Map<String, List<String>> byDomain = new HashMap<>();
		for (org.baobabknot.routing.Node entry : entries) {
			if (!entry.equals(self)) {
				byDomain.computeIfAbsent(entry.failureDomain(), (domain) -> new ArrayList<>()).add(entry.name());
			}
		}
		Set<String> chosen = new HashSet<>();
		byDomain.values()
			.forEach((names) -> RendezvousHash.rank(self.name(), names, (name) -> name)
				.stream()
				.limit(PEER_ENTRIES)
				.forEach(chosen::add));
		return chosen;
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
