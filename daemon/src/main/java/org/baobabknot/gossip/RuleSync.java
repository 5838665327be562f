package org.baobabknot.gossip;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.google.protobuf.ByteString;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.configuration.Adoption;
import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.configuration.Revision;
import org.baobabknot.observe.Events;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.RulesPull;
import org.baobabknot.protocol.generated.RulesValue;
import org.jspecify.annotations.Nullable;

/**
 * Adopts rule sets from the store, from peers and from operators, and hands them on.
 * Thread-safe.
 */
public final class RuleSync {

	// A revision reaches a process from many peers at the same time; one pull is enough
	// unless it takes unusually long.
	private static final long PULL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final long REQUIRE_MS = 500;

	private final ConfigurationView configuration;

	private final Peers peers;

	private final Events events;

	private final Ticker ticker;

	private final LongAdder refused = new LongAdder();

	private final Object lock = new Object();

	private byte[] document = new byte[0];

	private long documentRevision;

	private long pulling;

	private long pullStarted;

	/**
	 * Registers the handlers of pulls and pushes.
	 * @param configuration the rules in force here
	 * @param peers open connections
	 * @param streams where the handlers are registered
	 * @param events records adoptions
	 * @param ticker monotonic clock
	 */
	public RuleSync(ConfigurationView configuration, Peers peers, StreamRouter streams, Events events, Ticker ticker) {
		this.configuration = configuration;
		this.peers = peers;
		this.events = events;
		this.ticker = ticker;
		streams.on(Frame.BodyCase.RULES_PULL, this::answerPull);
		streams.on(Frame.BodyCase.RULES_VALUE, this::answerPush);
		streams.onMessage(Frame.BodyCase.RULES_VALUE, (connection,
				frame) -> tryAdopt(frame.getRulesValue().getValue().toByteArray(), "push by " + connection.peerName()));
	}

	/**
	 * Adopts a document if its revision is higher than the one in force, and pings the
	 * peers so that they learn of it.
	 * @param value the JSON form
	 * @param source where it came from, for the timeline
	 * @return whether it was adopted
	 */
	public boolean tryAdopt(byte[] value, String source) {
		Optional<Revision> read = RulesDocument.read(value);
		if (read.isEmpty()) {
			this.refused.increment();
			this.events.record("rules-refused", "document of " + value.length + " bytes from " + source);
			return false;
		}
		// The document is kept first: listeners of the configuration cause pulls from
		// this process before adopt returns.
		keep(value, read.get().revision());
		Adoption adoption = this.configuration.adopt(read.get());
		if (adoption instanceof Adoption.Conflicting conflicting) {
			this.refused.increment();
			this.events.record("rules-conflict",
					"revision " + conflicting.current().revision() + " from " + source + " has another change id");
		}
		if (!(adoption instanceof Adoption.Adopted)) {
			return false;
		}
		this.events.record("rules-adopted", "revision " + read.get().revision() + " from " + source);
		this.peers.pingAll();
		return true;
	}

	/**
	 * Takes note of a revision that a peer knows, and pulls it if it is higher.
	 * @param connection the peer
	 * @param revision its revision
	 */
	public void learned(Connection connection, long revision) {
		if (revision <= this.configuration.revision()) {
			return;
		}
		synchronized (this.lock) {
			long now = this.ticker.nanoTime();
			if (this.pulling >= revision && now - this.pullStarted < PULL_NANOS) {
				return;
			}
			this.pulling = revision;
			this.pullStarted = now;
		}
		pull(connection);
	}

	/**
	 * Makes sure that a revision named by a peer is in force here.
	 * @param instance the peer
	 * @param revision the revision
	 * @return completed when it is, and after 500 ms at the latest
	 */
	public CompletableFuture<Void> require(String instance, long revision) {
		Optional<Connection> connection = this.peers.connection(instance);
		if (revision <= this.configuration.revision() || connection.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return pull(connection.get()).<Void>thenApply((answered) -> null)
			.completeOnTimeout(null, REQUIRE_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Pulls from a peer whatever is newer than the rules in force.
	 * @param connection the peer
	 * @return whether the peer has answered; false if it is lost
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
			public void onConnectionLost(Stream stream, Failure failure) {
				answered.complete(false);
			}
		});
		return answered;
	}

	/**
	 * Number of documents refused as not valid or in conflict.
	 * @return count since the start
	 */
	public long refused() {
		return this.refused.sum();
	}

	private void keep(byte[] value, long revision) {
		synchronized (this.lock) {
			if (revision > this.documentRevision) {
				this.document = value;
				this.documentRevision = revision;
			}
		}
	}

	private @Nullable FrameHandler answerPull(Stream stream, Frame first) {
		RulesValue.Builder answer = RulesValue.newBuilder();
		synchronized (this.lock) {
			answer.setRevision(this.documentRevision);
			if (this.documentRevision > first.getRulesPull().getAboveRevision()) {
				answer.setValue(ByteString.copyFrom(this.document));
			}
		}
		stream.send(Frame.newBuilder().setRulesValue(answer));
		return null;
	}

	private @Nullable FrameHandler answerPush(Stream stream, Frame first) {
		tryAdopt(first.getRulesValue().getValue().toByteArray(), "push by " + stream.connection().peerName());
		RulesValue answer = RulesValue.newBuilder().setRevision(this.configuration.revision()).build();
		stream.send(Frame.newBuilder().setRulesValue(answer));
		return null;
	}

}
