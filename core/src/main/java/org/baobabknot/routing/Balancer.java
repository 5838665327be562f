package org.baobabknot.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.baobabknot.hashing.RendezvousHash;
import org.jspecify.annotations.Nullable;

/**
 * Load balancer of an entry, which chooses the agent for each request: the better of two
 * random agents. Requests with a common prompt prefix are sent to the same agent as long
 * as its load is within a multiple of the mean. Agents of the entry's own failure domain
 * are preferred; other domains are used when the pressure of the own domain is high.
 * Thread-safe.
 */
public final class Balancer {

	private final Object lock = new Object();

	private final BalancerSettings settings;

	private final RandomGenerator random;

	private final Map<String, AgentLoad> agents = new HashMap<>();

	private final Map<String, Map<String, AgentLoad>> byService = new HashMap<>();

	private Set<String> domainsOut = Set.of();

	/**
	 * Creates a balancer without agents.
	 * @param settings settings
	 * @param random source of random choices; used under the lock of this balancer only
	 */
	public Balancer(BalancerSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Adds an agent that this process is connected to. An agent that was added before is
	 * not changed.
	 * @param agent instance name
	 * @param service service of its target
	 * @param domain failure domain
	 */
	public void add(String agent, String service, String domain) {
		synchronized (this.lock) {
			if (!this.agents.containsKey(agent)) {
				AgentLoad load = new AgentLoad(agent, service, domain);
				this.agents.put(agent, load);
				this.byService.computeIfAbsent(service, (name) -> new LinkedHashMap<>()).put(agent, load);
			}
		}
	}

	/**
	 * Returns whether an agent has been added.
	 * @param agent instance name
	 * @return whether it may be chosen
	 */
	public boolean contains(String agent) {
		synchronized (this.lock) {
			return this.agents.containsKey(agent);
		}
	}

	/**
	 * Removes an agent that this process is no longer connected to.
	 * @param agent instance name
	 */
	public void remove(String agent) {
		synchronized (this.lock) {
			AgentLoad removed = this.agents.remove(agent);
			if (removed != null) {
				ofService(removed.service).remove(agent);
			}
		}
	}

	/**
	 * Replaces the set of failure domains that are out of service.
	 * @param domains names of failure domains
	 */
	public void domainsOut(Collection<String> domains) {
		synchronized (this.lock) {
			this.domainsOut = new HashSet<>(domains);
		}
	}

	/**
	 * Sets whether an agent is leaving according to the member list.
	 * @param agent instance name
	 * @param leaving whether it is leaving
	 */
	public void markLeaving(String agent, boolean leaving) {
		synchronized (this.lock) {
			AgentLoad load = this.agents.get(agent);
			if (load != null) {
				load.leaving = leaving;
			}
		}
	}

	/**
	 * Applies a load report.
	 * @param agent instance name
	 * @param report the report of the agent
	 * @param nowNanos monotonic time
	 */
	public void update(String agent, AgentLoadReport report, long nowNanos) {
		synchronized (this.lock) {
			AgentLoad load = this.agents.get(agent);
			if (load != null) {
				load.update(report);
			}
		}
	}

	/**
	 * Counts a request that is sent to an agent. It ends with {@link #recordResult} or
	 * {@link #recordAbandoned}.
	 * @param agent instance name
	 */
	public void recordStart(String agent) {
		synchronized (this.lock) {
			AgentLoad load = this.agents.get(agent);
			if (load != null) {
				load.recordStart();
			}
		}
	}

	/**
	 * Records the result of a request that was started.
	 * @param agent instance name
	 * @param success whether the target responded; false for failures and lost
	 * connections
	 * @param latencyNanos time until the first byte of the response, in nanoseconds
	 * @param nowNanos monotonic time
	 */
	public void recordResult(String agent, boolean success, long latencyNanos, long nowNanos) {
		synchronized (this.lock) {
			AgentLoad load = this.agents.get(agent);
			if (load != null) {
				load.recordResult(success, latencyNanos, nowNanos, this.settings);
			}
		}
	}

	/**
	 * Records the end of a started request that was refused or canceled, which does not
	 * indicate the health of the target.
	 * @param agent instance name
	 */
	public void recordAbandoned(String agent) {
		synchronized (this.lock) {
			AgentLoad load = this.agents.get(agent);
			if (load != null) {
				load.recordAbandoned();
			}
		}
	}

	/**
	 * Chooses the agent for a request. Does not count the request as started.
	 * @param request properties of the request that the choice depends on
	 * @param excluded agents that already refused or failed this request
	 * @param nowNanos monotonic time
	 * @return the choice, or nothing when no agent accepts requests
	 */
	public Optional<AgentChoice> choose(RoutingRequest request, Set<String> excluded, long nowNanos) {
		synchronized (this.lock) {
			List<AgentLoad> accepting = new ArrayList<>();
			for (AgentLoad load : ofService(request.service()).values()) {
				if (load.accepts() && !this.domainsOut.contains(load.domain) && !excluded.contains(load.name)) {
					accepting.add(load);
				}
			}
			List<AgentLoad> healthy = new ArrayList<>(accepting);
			healthy.removeIf((load) -> load.isAvoided(nowNanos));
			if (healthy.isEmpty()) {
				return Optional.ofNullable(best(accepting, nowNanos))
					.map((load) -> choice(load, AgentChoice.Kind.LAST_RESORT));
			}
			AgentLoad home = home(request, healthy);
			if (home != null) {
				return Optional.of(choice(home, AgentChoice.Kind.AFFINITY));
			}
			return Optional.of(byLoad(request, healthy, nowNanos));
		}
	}

	private AgentChoice byLoad(RoutingRequest request, List<AgentLoad> healthy, long nowNanos) {
		List<AgentLoad> local = new ArrayList<>(healthy);
		local.removeIf((load) -> !load.domain.equals(this.settings.ownDomain()));
		double localPressure = pressure(local);
		List<AgentLoad> candidates = local;
		if (localPressure > this.settings.spillPressure()) {
			candidates = new ArrayList<>(local);
			candidates.addAll(withLowerPressure(healthy, localPressure));
		}
		AgentLoad preferred = byPrefix(request, candidates);
		if (preferred != null) {
			return choice(preferred, AgentChoice.Kind.AFFINITY);
		}
		AgentLoad chosen = best(candidates, nowNanos);
		if (chosen == null) {
			throw new IllegalStateException("no candidate among " + healthy.size() + " agents");
		}
		boolean inOwnDomain = chosen.domain.equals(this.settings.ownDomain());
		return choice(chosen, inOwnDomain ? AgentChoice.Kind.LOCAL : AgentChoice.Kind.SPILLED);
	}

	private static AgentChoice choice(AgentLoad load, AgentChoice.Kind kind) {
		return new AgentChoice(load.name, load.domain, kind);
	}

	// Returns the agents of the other domains whose pressure is lower than that of the
	// own domain.
	private List<AgentLoad> withLowerPressure(List<AgentLoad> healthy, double localPressure) {
		Map<String, List<AgentLoad>> byDomain = new LinkedHashMap<>();
		for (AgentLoad load : healthy) {
			if (!load.domain.equals(this.settings.ownDomain())) {
				byDomain.computeIfAbsent(load.domain, (domain) -> new ArrayList<>()).add(load);
			}
		}
		List<AgentLoad> chosen = new ArrayList<>();
		for (List<AgentLoad> domain : byDomain.values()) {
			if (pressure(domain) < localPressure) {
				chosen.addAll(domain);
			}
		}
		return chosen;
	}

	// Infinite without agents, so that the pressure of every other domain is lower.
	private static double pressure(List<AgentLoad> loads) {
		double requests = 0;
		double limits = 0;
		for (AgentLoad load : loads) {
			requests += load.estimatedRequests();
			limits += load.limit();
		}
		return (limits > 0) ? requests / limits : Double.POSITIVE_INFINITY;
	}

	@Nullable private AgentLoad home(RoutingRequest request, List<AgentLoad> healthy) {
		return request.affinityKey(RoutingRequest.Affinity.HOME)
			.flatMap((key) -> RendezvousHash.first(key, healthy, (load) -> load.name))
			.orElse(null);
	}

	@Nullable private AgentLoad byPrefix(RoutingRequest request, List<AgentLoad> candidates) {
		Optional<String> key = request.affinityKey(RoutingRequest.Affinity.PREFIX);
		if (key.isEmpty()) {
			return null;
		}
		double maxLoad = this.settings.boundedLoad() * meanLoad(candidates);
		List<AgentLoad> belowMaxLoad = new ArrayList<>(candidates);
		belowMaxLoad.removeIf((load) -> load.relativeLoad() > maxLoad);
		return RendezvousHash.first(key.get(), belowMaxLoad, (load) -> load.name).orElse(null);
	}

	private static double meanLoad(List<AgentLoad> candidates) {
		double sum = 0;
		for (AgentLoad load : candidates) {
			sum += load.relativeLoad();
		}
		return sum / candidates.size();
	}

	@Nullable private AgentLoad best(List<AgentLoad> candidates, long nowNanos) {
		int count = candidates.size();
		if (count == 0) {
			return null;
		}
		AgentLoad first = candidates.get(this.random.nextInt(count));
		if (count == 1) {
			return first;
		}
		AgentLoad second = candidates.get(this.random.nextInt(count - 1));
		if (second == first) {
			second = candidates.get(count - 1);
		}
		return (cost(first, second, nowNanos) <= cost(second, first, nowNanos)) ? first : second;
	}

	// If the latency of an agent is not known, the latency of the other one is used.
	private static double cost(AgentLoad load, AgentLoad other, long nowNanos) {
		double latency = load.latencyNanos(nowNanos);
		if (latency == 0) {
			latency = Math.max(1, other.latencyNanos(nowNanos));
		}
		return latency * load.relativeLoad() * load.failurePenalty();
	}

	/**
	 * Returns the pressure of a failure domain for a service: requests running and queued
	 * divided by the sum of the limits of its accepting agents.
	 * @param service the service
	 * @param domain the failure domain
	 * @return the pressure, infinite when no agent accepts requests
	 */
	public double pressure(String service, String domain) {
		synchronized (this.lock) {
			List<AgentLoad> loads = new ArrayList<>(ofService(service).values());
			loads.removeIf((load) -> !load.domain.equals(domain) || !load.accepts());
			return pressure(loads);
		}
	}

	private Map<String, AgentLoad> ofService(String service) {
		return this.byService.getOrDefault(service, Map.of());
	}

}
