package org.baobabknot.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.placement.TargetLoad;

/**
 * Connections and load of all targets that a gateway has used. Each start of a target has
 * connections of its own, because its address may have belonged to another one. Runs on
 * one event loop.
 */
final class TargetPool implements LoadReceiver.Listener {

	/** Part of the connections of a target that the entries together may open. */
	private static final double CONNECTION_SHARE = 0.9;

	/** A sound target accepts a connection within some ms on any link of the fleet. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

	private static final Duration MAX_IDLE = Duration.ofSeconds(12);

	private static final int MAX_HEAD_BYTES = 32 << 10;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private final EventLoopGroup group;

	private final FleetView view;

	private final Map<String, TargetState> states = new HashMap<>();

	TargetPool(EventLoopGroup group, FleetView view) {
		this.group = group;
		this.view = view;
	}

	/**
	 * Returns what is kept for a target.
	 * @param target the target
	 * @return its state, which is created on first use
	 */
	TargetState state(TargetRecord target) {
		TargetState known = this.states.get(target.id());
		if (known != null && known.address().equals(target.address()) && known.bornMs() == target.startedMs()) {
			return known;
		}
		if (known != null) {
			known.client().close();
		}
		TargetState created = new TargetState(target.address(), target.startedMs(),
				new HttpClient(this.group, target.host(), target.port(), new HttpClientSettings(connections(target),
						CONNECT_TIMEOUT, MAX_IDLE, MAX_HEAD_BYTES, MAX_BODY_BYTES, true), ConnectionHook.NONE),
				new TargetLoad());
		this.states.put(target.id(), created);
		return created;
	}

	/**
	 * Closes the connections of targets that are not listed any more and have no requests
	 * of this gateway, and divides the connections of the others among the entries known
	 * now.
	 */
	void sweep() {
		Iterator<Map.Entry<String, TargetState>> entries = this.states.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<String, TargetState> entry = entries.next();
			Optional<TargetRecord> listed = this.view.target(entry.getKey());
			if (listed.isPresent()) {
				entry.getValue().client().limitConnections(connections(listed.get()));
			}
			else if (entry.getValue().load().inFlight() == 0) {
				entry.getValue().client().close();
				entries.remove();
			}
		}
	}

	/**
	 * Finds the target in use at an address.
	 * @param address the address
	 * @return its state, or nothing
	 */
	private Optional<TargetState> at(String address) {
		for (TargetState state : this.states.values()) {
			if (state.address().equals(address)) {
				return Optional.of(state);
			}
		}
		return Optional.empty();
	}

	@Override
	public void reported(String address, int requests, boolean accepts, int linkDelayMs, int lateMs) {
		at(address).ifPresent((state) -> state.load()
			.loaderReportedRequests(requests, accepts, linkDelayMs, lateMs, System.nanoTime()));
	}

	@Override
	public double lateMs(String address) {
		return at(address).map((state) -> state.load().unconfirmedMs(System.nanoTime())).orElse(0.0);
	}

	private int connections(TargetRecord target) {
		int most = this.view.configuration()
			.flatMap((configuration) -> configuration.service(target.service()))
			.map(ServiceDefinition::maxConnections)
			.orElse(1);
		return Math.max(1, (int) (most * CONNECTION_SHARE / this.view.limitDivisor()));
	}

}
