package org.baobabknot.gossip;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.util.concurrent.Ticker;
import org.baobabknot.members.MemberList;
import org.baobabknot.members.MembersResult;
import org.baobabknot.membership.MemberAdoption;
import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.MembersPull;
import org.baobabknot.protocol.generated.MembersValue;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the member list. Entries poll the platform's list every 2 s. Agents pull from
 * entries of their own failure domain, because the addresses in the list depend on the
 * viewer's domain, and poll only after 5 s without such an entry. Thread-safe.
 */
public final class MemberSync {

	/** Interval of the polls of an entry, and of an agent without entries. */
	static final long POLL_MS = 2_000;

	private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final MembershipView membership;

	private final MemberList list;

	private final Peers peers;

	private final String domain;

	private final boolean entry;

	private final Ticker ticker;

	private final AtomicBoolean polling = new AtomicBoolean();

	private final AtomicBoolean pulling = new AtomicBoolean();

	private volatile long lastContact;

	/**
	 * Registers the handler of pulls.
	 * @param membership the list known here
	 * @param list the platform's list
	 * @param peers open connections
	 * @param streams where the handler is registered
	 * @param domain own failure domain
	 * @param entry whether this process is an entry
	 * @param ticker monotonic clock
	 */
	public MemberSync(MembershipView membership, MemberList list, Peers peers, StreamRouter streams, String domain,
			boolean entry, Ticker ticker) {
		this.membership = membership;
		this.list = list;
		this.peers = peers;
		this.domain = domain;
		this.entry = entry;
		this.ticker = ticker;
		this.lastContact = ticker.nanoTime();
		streams.on(Frame.BodyCase.MEMBERS_PULL, this::answerPull);
	}

	/**
	 * Called every 2 s: polls if this process has to.
	 */
	public void tick() {
		long now = this.ticker.nanoTime();
		if (this.peers.hasEntryOf(this.domain)) {
			this.lastContact = now;
		}
		if (this.entry || now - this.lastContact >= ALONE_NANOS) {
			poll();
		}
	}

	/**
	 * Polls the platform's list now.
	 */
	public void poll() {
		if (!this.polling.compareAndSet(false, true)) {
			return;
		}
		long above = this.membership.version();
		this.list.poll(above).whenComplete((result, error) -> {
			this.polling.set(false);
			if (result instanceof MembersResult.Listed listed && listed.version() > above) {
				apply(MemberMessages.update(listed, above));
			}
		});
	}

	/**
	 * Takes note of a version that a peer knows. Entries of other failure domains see
	 * other addresses, so only peers of the own one are asked.
	 * @param connection the peer
	 * @param version its version
	 */
	public void learned(Connection connection, long version) {
		if (version <= this.membership.version() || connection.peerHello().getRole() != Role.ENTRY
				|| !connection.peerHello().getFailureDomain().equals(this.domain)
				|| !this.pulling.compareAndSet(false, true)) {
			return;
		}
		MembersPull pull = MembersPull.newBuilder().setAboveVersion(this.membership.version()).build();
		connection.open(Frame.newBuilder().setMembersPull(pull), new FrameHandler() {
			@Override
			public void onFrame(Stream stream, Frame frame) {
				stream.close();
				MemberSync.this.pulling.set(false);
				if (frame.hasMembersValue() && frame.getMembersValue().getVersion() > 0) {
					apply(MemberMessages.update(frame.getMembersValue()));
				}
			}

			@Override
			public void onConnectionLost(Stream stream, Failure failure) {
				MemberSync.this.pulling.set(false);
			}
		});
	}

	private void apply(MemberUpdate update) {
		MemberAdoption adoption = this.membership.apply(update);
		if (adoption instanceof MemberAdoption.Applied && this.entry) {
			this.peers.pingAll();
		}
	}

	private @Nullable FrameHandler answerPull(Stream stream, Frame first) {
		Optional<MemberUpdate> newer = this.membership.since(first.getMembersPull().getAboveVersion());
		MembersValue answer = newer.map(MemberMessages::message).orElse(MembersValue.getDefaultInstance());
		stream.send(Frame.newBuilder().setMembersValue(answer));
		return null;
	}

}
