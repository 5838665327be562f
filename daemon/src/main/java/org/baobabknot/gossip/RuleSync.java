package org.baobabknot.gossip;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.google.protobuf.ByteString;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.configuration.AdoptionResult;
import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.configuration.Revision;
import org.baobabknot.observe.EventRecorder;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.RulesPull;
import org.baobabknot.protocol.generated.RulesValue;
import org.jspecify.annotations.Nullable;

/**
 * Adopts rule sets from the store, from peers and from operators, and serves them to
 * peers. Thread-safe.
 */
public final class RuleSync {

	// Many peers announce a new revision at the same time, and one pull is enough.
	// A further pull is only sent if the first one takes longer than this.
	private static final long PULL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final long ENSURE_TIMEOUT_MS = 500;

	private final ConfigurationView configuration;

	private final Peers peers;

	private final EventRecorder events;

	private final Ticker ticker;

	private final LongAdder refusedDocuments = new LongAdder();

	private final Object lock = new Object();

	private byte[] document = new byte[0];

	private long documentRevision;

	private long pullingRevision;

	private long pullStartedNanos;

	/**
	 * Registers the handlers of pulls and pushes.
	 * @param configuration rules in force in this process
	 * @param peers open connections
	 * @param streams registry for the handlers
	 * @param events records adoptions and refusals
	 * @param ticker monotonic clock
	 */
	public RuleSync(ConfigurationView configuration, Peers peers, StreamRouter streams, EventRecorder events,
			Ticker ticker) {
		this.configuration = configuration;
		this.peers = peers;
		this.events = events;
		this.ticker = ticker;
		streams.addAcceptor(Frame.BodyCase.RULES_PULL, this::handlePull);
		streams.addAcceptor(Frame.BodyCase.RULES_VALUE, this::handlePush);
		streams.addMessageHandler(Frame.BodyCase.RULES_VALUE, (connection,
				frame) -> tryAdopt(frame.getRulesValue().getValue().toByteArray(), "push by " + connection.peerName()));
	}

	/**
	 * Adopts a document if its revision is higher than the one in force, and pings the
	 * peers to announce it.
	 * @param value the JSON document
	 * @param source source of the document, shown on the timeline
	 * @return whether it was adopted
	 */
	public boolean tryAdopt(byte[] value, String source) {
		Optional<Revision> parsed = RulesDocument.read(value);
		if (parsed.isEmpty()) {
			this.refusedDocuments.increment();
			this.events.record("rules-refused", "document of " + value.length + " bytes from " + source);
			return false;
		}
		// The document is kept first, because listeners of the configuration cause
		// peers to pull it from this process before adopt returns.
		keepDocument(value, parsed.get().number());
		AdoptionResult adoption = this.configuration.adopt(parsed.get());
		if (adoption instanceof AdoptionResult.Conflicting conflicting) {
			this.refusedDocuments.increment();
			this.events.record("rules-conflict",
					"revision " + conflicting.current().number() + " from " + source + " has another change id");
		}
		if (!(adoption instanceof AdoptionResult.Adopted)) {
			return false;
		}
		this.events.record("rules-adopted", "revision " + parsed.get().number() + " from " + source);
		this.peers.pingAll();
		return true;
	}

	/**
	 * Handles the revision that a peer announces, and pulls it if it is higher than the
	 * one in force.
	 * @param connection the peer
	 * @param revision revision of the peer
	 */
	public void onPeerRevision(Connection connection, long revision) {
		if (revision <= this.configuration.revision()) {
			return;
		}
		synchronized (this.lock) {
			long now = this.ticker.nanoTime();
			if (this.pullingRevision >= revision && now - this.pullStartedNanos < PULL_TIMEOUT_NANOS) {
				return;
			}
			this.pullingRevision = revision;
			this.pullStartedNanos = now;
		}
		pull(connection);
	}

	/**
	 * Pulls the rules from a peer if a revision that it announced is not in force in this
	 * process yet.
	 * @param instance instance name of the peer
	 * @param revision the revision
	 * @return completed when the revision is in force or the pull has ended, and after
	 * 500 ms at the latest
	 */
	public CompletableFuture<Void> ensureRevision(String instance, long revision) {
		Optional<Connection> connection = this.peers.connection(instance);
		if (revision <= this.configuration.revision() || connection.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return pull(connection.get()).<Void>thenApply((responded) -> null)
			.completeOnTimeout(null, ENSURE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Pulls the rules from a peer if its revision is higher than the one in force.
	 * @param connection the peer
	 * @return true after the response of the peer, false if the connection is lost
	 */
	public CompletableFuture<Boolean> pull(Connection connection) {
		CompletableFuture<Boolean> answered = new CompletableFuture<>();
		RulesPull pull = RulesPull.newBuilder().setAboveRevision(this.configuration.revision()).build();
		connection.open(Frame.newBuilder().setRulesPull(pull), new FrameHandler() {
			@Override
			public void onFrame(Stream stream, Frame frame) {
				stream.close();
				if (frame.hasRulesValue() && !frame.getRulesValue().getValue().isEmpty()) {
					tryAdopt(frame.getRulesValue().getValue().toByteArray(), connection.peerName());
				}
				answered.complete(true);
			}

			@Override
			public void onConnectionLost(Stream stream, ConnectionFailure failure) {
				answered.complete(false);
			}
		});
		return answered;
	}

	/**
	 * Number of documents refused as invalid or conflicting.
	 * @return count since the start
	 */
	public long refusedDocuments() {
		return this.refusedDocuments.sum();
	}

	private void keepDocument(byte[] value, long revision) {
		synchronized (this.lock) {
			if (revision > this.documentRevision) {
				this.document = value;
				this.documentRevision = revision;
			}
		}
	}

	private @Nullable FrameHandler handlePull(Stream stream, Frame first) {
		RulesValue.Builder response = RulesValue.newBuilder();
		synchronized (this.lock) {
			response.setRevision(this.documentRevision);
			if (this.documentRevision > first.getRulesPull().getAboveRevision()) {
				response.setValue(ByteString.copyFrom(this.document));
			}
		}
		stream.send(Frame.newBuilder().setRulesValue(response));
		return null;
	}

	private @Nullable FrameHandler handlePush(Stream stream, Frame first) {
		tryAdopt(first.getRulesValue().getValue().toByteArray(), "push by " + stream.connection().peerName());
		RulesValue response = RulesValue.newBuilder().setRevision(this.configuration.revision()).build();
		stream.send(Frame.newBuilder().setRulesValue(response));
		return null;
	}

}
