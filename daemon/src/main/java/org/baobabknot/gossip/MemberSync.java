package org.baobabknot.gossip;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.util.concurrent.Ticker;
import org.baobabknot.members.MemberList;
import org.baobabknot.members.MembersResult;
import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.membership.MemberUpdateResult;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.MembersPull;
import org.baobabknot.protocol.generated.MembersValue;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the member list up to date. Entries poll the platform's list every 2 s. Agents
 * pull from entries of their own failure domain, because the addresses in the list depend
 * on the viewer's domain, and poll only after 5 s without a connection to such an entry.
 * Thread-safe.
 */
public final class MemberSync {

	/** Poll interval of entries, and of agents that are not connected to an entry. */
	static final long POLL_INTERVAL_MS = 2_000;

	private static final long NO_ENTRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final MembershipView membership;

	private final MemberList memberList;

	private final Peers peers;

	private final String failureDomain;

	private final boolean isEntry;

	private final Ticker ticker;

	private final AtomicBoolean pollInFlight = new AtomicBoolean();

	private final AtomicBoolean pullInFlight = new AtomicBoolean();

	private volatile long lastEntryNanos;

	/**
	 * Registers the handler of pulls.
	 * @param membership member list of this process
	 * @param memberList client of the platform's member list
	 * @param peers open connections
	 * @param streams registry for the handler of pulls
	 * @param failureDomain failure domain of this process
	 * @param isEntry whether this process is an entry
	 * @param ticker monotonic clock
	 */
	public MemberSync(MembershipView membership, MemberList memberList, Peers peers, StreamRouter streams,
			String failureDomain, boolean isEntry, Ticker ticker) {
		this.membership = membership;
		this.memberList = memberList;
		this.peers = peers;
		this.failureDomain = failureDomain;
		this.isEntry = isEntry;
		this.ticker = ticker;
		this.lastEntryNanos = ticker.nanoTime();
		streams.addAcceptor(Frame.BodyCase.MEMBERS_PULL, this::handlePull);
	}

	/**
	 * Polls the platform's list if this process is an entry, or an agent that has had no
	 * connection to an entry of its failure domain for 5 s. Called every 2 s.
	 */
	public void pollIfNeeded() {
		long now = this.ticker.nanoTime();
		if (this.peers.hasEntryOf(this.failureDomain)) {
			this.lastEntryNanos = now;
		}
		if (this.isEntry || now - this.lastEntryNanos >= NO_ENTRY_TIMEOUT_NANOS) {
			poll();
		}
	}

	/**
	 * Polls the platform's list, unless a poll is in flight.
	 */
	public void poll() {
		if (!this.pollInFlight.compareAndSet(false, true)) {
			return;
		}
		long baseVersion = this.membership.version();
		this.memberList.poll(baseVersion).whenComplete((result, error) -> {
			this.pollInFlight.set(false);
			if (result instanceof MembersResult.Received listed && listed.version() > baseVersion) {
				apply(MemberMessages.toUpdate(listed, baseVersion));
			}
		});
	}

	/**
	 * Handles the version that a peer announces, and pulls the member list if it is
	 * higher. Pulls only from entries of the same failure domain, because entries of
	 * other domains see other addresses.
	 * @param connection the peer
	 * @param version member list version of the peer
	 */
	public void onPeerVersion(Connection connection, long version) {
		if (version <= this.membership.version() || connection.peerHello().getRole() != Role.ENTRY
				|| !connection.peerHello().getFailureDomain().equals(this.failureDomain)
				|| !this.pullInFlight.compareAndSet(false, true)) {
			return;
		}
		MembersPull pull = MembersPull.newBuilder().setAboveVersion(this.membership.version()).build();
		connection.open(Frame.newBuilder().setMembersPull(pull), new FrameHandler() {
			@Override
			public void onFrame(Stream stream, Frame frame) {
				stream.close();
				MemberSync.this.pullInFlight.set(false);
				if (frame.hasMembersValue() && frame.getMembersValue().getVersion() > 0) {
					apply(MemberMessages.toUpdate(frame.getMembersValue()));
				}
			}

			@Override
			public void onConnectionLost(Stream stream, ConnectionFailure failure) {
				MemberSync.this.pullInFlight.set(false);
			}
		});
	}

	private void apply(MemberUpdate update) {
		MemberUpdateResult adoption = this.membership.apply(update);
		if (adoption instanceof MemberUpdateResult.Applied && this.isEntry) {
			this.peers.pingAll();
		}
	}

	private @Nullable FrameHandler handlePull(Stream stream, Frame first) {
		Optional<MemberUpdate> newer = this.membership.updateSince(first.getMembersPull().getAboveVersion());
		MembersValue response = newer.map(MemberMessages::toMessage).orElse(MembersValue.getDefaultInstance());
		stream.send(Frame.newBuilder().setMembersValue(response));
		return null;
	}

}
