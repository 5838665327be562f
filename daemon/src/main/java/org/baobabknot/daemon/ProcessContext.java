package org.baobabknot.daemon;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.Ticker;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.gossip.ConnectionEventDispatcher;
import org.baobabknot.gossip.PauseGate;
import org.baobabknot.gossip.Peers;
import org.baobabknot.gossip.StreamRouter;
import org.baobabknot.members.MemberList;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.EventRecorder;
import org.baobabknot.protocol.ConnectionSettings;
import org.baobabknot.protocol.LocalState;
import org.baobabknot.protocol.ProtocolCounters;
import org.baobabknot.settings.Settings;
import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.time.HybridClock;
import org.jspecify.annotations.Nullable;

/**
 * Components of a process that its role uses.
 *
 * @param settings settings of the process
 * @param incarnation number that distinguishes this process from others with the same
 * instance name
 * @param clock hybrid logical clock
 * @param ticker monotonic clock of all timeouts
 * @param group event loops
 * @param configuration rules in force
 * @param membership member list
 * @param store configuration store
 * @param memberList platform's member list
 * @param streams dispatches the streams and messages of peers
 * @param peers open connections
 * @param pauseGate holds back new work after a pause
 * @param statusReport collects the load and the status of the role
 * @param events log and timeline
 * @param requestLog receives a line for each request
 * @param metrics registry that {@code /metrics} serves
 * @param localState state that this process sends to its peers
 * @param connectionSettings settings of connections
 * @param counters counters of events on connections
 * @param clientTls context of outgoing connections, {@code null} for plain TCP
 * @param serverTls context of accepted connections, {@code null} for plain TCP
 * @param connectionListener receives the events of connections
 * @param revisionSource pulls revisions that a peer has in force
 */
public record ProcessContext(Settings settings, long incarnation, HybridClock clock, Ticker ticker,
		EventLoopGroup group, ConfigurationView configuration, MembershipView membership, ConfigurationStore store,
		MemberList memberList, StreamRouter streams, Peers peers, PauseGate pauseGate, StatusReport statusReport,
		EventRecorder events, DecisionLog requestLog, PrometheusRegistry metrics, LocalState localState,
		ConnectionSettings connectionSettings, ProtocolCounters counters, @Nullable SslContext clientTls,
		@Nullable SslContext serverTls, ConnectionEventDispatcher connectionListener, RevisionSource revisionSource) {

	/**
	 * Current monotonic time.
	 * @return nanoseconds
	 */
	public long nowNanos() {
		return this.ticker.nanoTime();
	}

	/**
	 * Pulls revisions from peers.
	 */
	@FunctionalInterface
	public interface RevisionSource {

		/**
		 * Ensures that at least a revision is in force in this process, by pulling it
		 * from the peer that announced it.
		 * @param instance instance name of the peer
		 * @param revision the revision that the peer has in force
		 * @return completed when it is in force, and after 500 ms at the latest
		 */
		CompletableFuture<Void> ensureRevision(String instance, long revision);

	}

}
