package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.limit.IssuerRanking;
import org.baobabknot.protocol.generated.IssuerNotice;
import org.baobabknot.protocol.generated.PermitMessage;

/**
 * Tells the other entries when this process begins and ceases to issue permits, and takes
 * into account what they tell. Confined to one event loop.
 */
final class IssuerNotices {

	/** Interval of the notices to entries that have not confirmed yet, in ms. */
	private static final long ANNOUNCEMENT_INTERVAL_MS = 250;

	private final EntryRecord self;

	private final IssuerRanking ranking;

	private final SharedLimits.Peers peers;

	private final LongSupplier clock;

	private long announcedNanos;

	private boolean leaving;

	/**
	 * Creates the notices of a process that has sent none.
	 * @param self entry of this process
	 * @param ranking ranking that notices of others change
	 * @param peers the other entries
	 * @param clock monotonic time in ns
	 */
	IssuerNotices(EntryRecord self, IssuerRanking ranking, SharedLimits.Peers peers, LongSupplier clock) {
		this.self = self;
		this.ranking = ranking;
		this.peers = peers;
		this.clock = clock;
	}

	private long now() {
		return this.clock.getAsLong();
	}

	/**
	 * Tells entries that do not know this process yet about it.
	 */
	void announce() {
		long now = now();
		List<EntryRecord> awaited = this.ranking.awaited();
		if (!this.leaving && !awaited.isEmpty()
				&& now - this.announcedNanos > TimeUnit.MILLISECONDS.toNanos(ANNOUNCEMENT_INTERVAL_MS)) {
			this.announcedNanos = now;
			this.peers.send(issuerNotice(false), awaited);
		}
	}

	/**
	 * Ceases to be an issuer, and tells the other entries.
	 */
	void leave() {
		this.leaving = true;
		this.ranking.leave();
		this.peers.send(issuerNotice(true), this.peers.others());
	}

	private PermitMessage issuerNotice(boolean ends) {
		return PermitMessage.newBuilder()
			.setIssuer(IssuerNotice.newBuilder()
				.setInstance(this.self.instance())
				.setRegion(this.self.region())
				.setHost(this.self.host())
				.setPort(this.self.port())
				.setLeaving(ends)
				.setConfirm(!ends))
			.build();
	}

	/**
	 * Handles a notice of another entry.
	 * @param notice the notice
	 * @param reply sends a message back to it
	 */
	void handle(IssuerNotice notice, Consumer<PermitMessage> reply) {
		if (!notice.getConfirmedBy().isEmpty()) {
			this.ranking.recordConfirmed(notice.getConfirmedBy());
			return;
		}
		EntryRecord entry = new EntryRecord(notice.getInstance(), notice.getRegion(), notice.getHost(),
				notice.getPort());
		if (notice.getLeaving()) {
			this.ranking.recordDeparted(entry, now());
			return;
		}
		this.ranking.recordAnnounced(entry, now());
		if (notice.getConfirm()) {
			reply.accept(PermitMessage.newBuilder()
				.setIssuer(notice.toBuilder().setConfirmedBy(this.self.instance()))
				.build());
		}
	}

}
