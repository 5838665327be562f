package org.baobabknot.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.channel.EventLoopGroup;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.httpclient.ResponseMatching;
import org.baobabknot.limit.LimitStatement;
import org.baobabknot.limit.StatedLimit;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.placement.StatedAvailability;
import org.baobabknot.placement.TargetLoad;
import org.baobabknot.provider.TargetRunCheck;

/**
 * Connections and load of all targets that a gateway has used. Connections are not shared
 * between two starts of a target or two targets, because an address may be reused.
 * Confined to one event loop.
 */
final class TargetPool {

	/** Fraction of the connections of a target that all entries together may open. */
	private static final double MAX_CONNECTIONS_RATIO = 0.9;

	/** Healthy targets accept a connection within a few ms on any link of the fleet. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

	private static final Duration MAX_IDLE = Duration.ofSeconds(12);

	private static final int MAX_RETAINED = 1_024;

	private static final int MAX_HEAD_BYTES = 32 << 10;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private final EventLoopGroup group;

	private final FleetView view;

	private final DecisionLog log;

	private final Map<String, PooledTarget> pooledTargets = new HashMap<>();

	private final Map<String, PooledTarget> byAddress = new HashMap<>();

	private final Map<Long, PooledTarget> byStart = new HashMap<>();

	/** Statements of starts of targets that are not in use, the newest ones. */
	private final Map<String, StatedAvailability> retained = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, StatedAvailability> eldest) {
			return size() > MAX_RETAINED;
		}
	};

	/** What other entries have reported of targets that are not in use. */
	private Function<Long, Optional<LimitStatement>> reported = (start) -> Optional.empty();

	TargetPool(EventLoopGroup group, FleetView view, DecisionLog log) {
		this.group = group;
		this.view = view;
		this.log = log;
	}

	/**
	 * Sets where statements of targets are found that this process has not used yet.
	 * @param newReported finds the statement of a start of a target, given as a hash
	 */
	void reportedStatements(Function<Long, Optional<LimitStatement>> newReported) {
		this.reported = newReported;
	}

	/**
	 * Returns the connections and load of a target.
	 * @param target the target
	 * @return the pooled target, which is created on first use
	 */
	PooledTarget pooledTarget(TargetRecord target) {
		PooledTarget existing = this.pooledTargets.get(target.id());
		if (existing != null && !existing.isReplacedBy(target)) {
			return existing;
		}
		if (existing != null) {
			logReplaced(existing, target);
			if (existing.hasEndedBefore(target)) {
				existing.client().close();
			}
			else {
				existing.client().retire();
			}
			retainStatements(target.id(), existing);
			this.byStart.remove(existing.limitedTarget().key());
		}
		HttpClient client = new HttpClient(
				this.group, target.host(), target.port(), new HttpClientSettings(maxConnections(target).orElse(1),
						CONNECT_TIMEOUT, MAX_IDLE, MAX_HEAD_BYTES, MAX_BODY_BYTES, true, ResponseMatching.BY_IDENTITY),
				ConnectionHook.NONE);
		StatedAvailability availability = this.retained.getOrDefault(startOf(target.id(), target.startedMs()),
				new StatedAvailability());
		TargetLoad load = new TargetLoad(availability);
		long start = Hashing.komihash5_0().hashCharsToLong(startOf(target.id(), target.startedMs()));
		this.reported.apply(start).ifPresent(availability.limit()::merge);
		PooledTarget created = new PooledTarget(target.address(), target.startedMs(), client, load,
				new CrashProbe(client), runCheck(client, target),
				new LimitedTarget(start, this.view.region(target.domain()), availability.limit(), load.permits()));
		this.pooledTargets.put(target.id(), created);
		this.byStart.put(start, created);
		this.byAddress.put(created.address(), created);
		return created;
	}

	/**
	 * Closes the connections of unlisted targets without requests of this gateway, and
	 * adjusts the connection limit of the others to the current number of entries. The
	 * limit of a service that is not configured any more stays.
	 */
	void sweep() {
		Iterator<Map.Entry<String, PooledTarget>> entries = this.pooledTargets.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<String, PooledTarget> entry = entries.next();
			Optional<TargetRecord> listedTarget = this.view.target(entry.getKey());
			if (listedTarget.isPresent()) {
				maxConnections(listedTarget.get()).ifPresent(entry.getValue().client()::limitConnections);
			}
			else if (entry.getValue().load().inFlight() == 0) {
				entry.getValue().client().close();
				retainStatements(entry.getKey(), entry.getValue());
				this.byAddress.remove(entry.getValue().address(), entry.getValue());
				this.byStart.remove(entry.getValue().limitedTarget().key());
				entries.remove();
			}
		}
	}

	/**
	 * Withdraws the requests that wait for a connection to a target which gets none any
	 * more, so that they go to other targets at once.
	 */
	void withdrawFromUnavailable() {
		for (Map.Entry<String, PooledTarget> entry : List.copyOf(this.pooledTargets.entrySet())) {
			boolean available = this.view.target(entry.getKey())
				.filter((target) -> !target.leaving() && !this.view.domainsOut().contains(target.domain()))
				.isPresent();
			if (!available) {
				entry.getValue().client().withdrawWaiting("the target leaves, is not listed or its domain is out");
			}
		}
	}

	/**
	 * Finds the pooled target at an address.
	 * @param address the address
	 * @return the pooled target, empty if none is in use there
	 */
	private Optional<PooledTarget> findByAddress(String address) {
		return Optional.ofNullable(this.byAddress.get(address));
	}

	void loadReported(String address, int requests, boolean acceptsRequests, int linkDelayMs, int lateMs) {
		findByAddress(address).ifPresent((pooledTarget) -> pooledTarget.load()
			.loaderReportedRequests(requests, acceptsRequests, linkDelayMs, lateMs, System.nanoTime()));
	}

	double lateMs(String address) {
		return findByAddress(address).map((pooledTarget) -> pooledTarget.load().unconfirmedMs(System.nanoTime()))
			.orElse(0.0);
	}

	/**
	 * Finds the limit that a target has stated.
	 * @param start start of the target, as a hash
	 * @return the limit, empty if the target is not in use
	 */
	Optional<StatedLimit> findLimit(long start) {
		return Optional.ofNullable(this.byStart.get(start)).map((target) -> target.limitedTarget().limit());
	}

	/**
	 * Returns the limits that targets state at present.
	 * @return requests per second by the id of the target
	 */
	Map<String, Double> statedLimits() {
		Map<String, Double> limits = new HashMap<>();
		this.pooledTargets.forEach((id, pooledTarget) -> {
			StatedLimit limit = pooledTarget.limitedTarget().limit();
			if (limit.limited()) {
				limits.put(id, limit.ratePerSecond());
			}
		});
		return limits;
	}

	private void logReplaced(PooledTarget existing, TargetRecord target) {
		this.log.line(DecisionLog.Importance.STATE, "target-replaced")
			.with("target", target.id())
			.with("address", target.address())
			.with("started", target.startedMs())
			.with("addressBefore", existing.address())
			.with("startedBefore", existing.startedAtMs())
			.with("inFlight", existing.load().inFlight())
			.write();
	}

	// An older list may name a target again after it was removed.
	private void retainStatements(String id, PooledTarget pooledTarget) {
		StatedAvailability availability = pooledTarget.load().availability();
		if (!availability.acceptsRequests(System.nanoTime()) || availability.limit().limited()) {
			this.retained.put(startOf(id, pooledTarget.startedAtMs()), availability);
		}
	}

	private static String startOf(String id, long startedMs) {
		return id + "/" + startedMs;
	}

	private TargetRunCheck runCheck(HttpClient client, TargetRecord target) {
		Optional<ServiceDefinition> service = this.view.configuration()
			.flatMap((configuration) -> configuration.service(target.service()));
		return new TargetRunCheck(client, service.map(ServiceDefinition::statusPath).orElse("/"),
				service.map(ServiceDefinition::reportsStart).orElse(false), target);
	}

	private Optional<Integer> maxConnections(TargetRecord target) {
		return this.view.configuration()
			.flatMap((configuration) -> configuration.service(target.service()))
			.map((service) -> Math.max(1,
					(int) (service.maxConnections() * MAX_CONNECTIONS_RATIO / this.view.limitDivisor())));
	}

}
