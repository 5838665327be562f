package org.baobabknot.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * State of one bucket in a {@link ClaimBook}. Guarded by the lock of the book.
 */
final class ClaimBucket {

	final int number;

	/**
	 * Requests that wait for the next write.
	 */
	final List<PendingClaim> pending = new ArrayList<>();

	/**
	 * Requests whose claims are in the write whose result is not known yet.
	 */
	final List<PendingClaim> batch = new ArrayList<>();

	/**
	 * Requests that wait for the answer of another agent.
	 */
	final List<PendingClaim> asking = new ArrayList<>();

	/**
	 * Claims as they are being written.
	 */
	Map<Hash128, Claim> draft = new LinkedHashMap<>();

	/**
	 * Operation at the store that has not ended, or 0.
	 */
	long operation;

	boolean known;

	long version;

	boolean everWrote;

	long lastWriteNanos;

	boolean wakeRequested;

	private Map<Hash128, Claim> claims = new LinkedHashMap<>();

	private int draftBytes;

	ClaimBucket(int number) {
		this.number = number;
	}

	void learn(StoreRead result) {
		Map<Hash128, Claim> read = new LinkedHashMap<>();
		long readVersion = 0;
		if (result instanceof StoreRead.Value value) {
			for (Claim claim : ClaimText.read(value.value())) {
				read.put(claim.key(), claim);
			}
			readVersion = value.version();
		}
		this.claims = read;
		this.version = readVersion;
		this.known = true;
	}

	void wrote(long newVersion) {
		this.claims = this.draft;
		this.draft = new LinkedHashMap<>();
		this.version = newVersion;
		this.known = true;
	}

	void forget() {
		this.known = false;
		this.claims = new LinkedHashMap<>();
	}

	void draft(long nowSeconds, long retentionSeconds) {
		this.draft = new LinkedHashMap<>();
		this.draftBytes = 0;
		for (Claim claim : this.claims.values()) {
			if (!claim.expired(nowSeconds, retentionSeconds)) {
				this.draft.put(claim.key(), claim);
				this.draftBytes += ClaimText.write(List.of(claim)).length;
			}
		}
	}

	boolean tryPlace(Claim claim, int maxBytes) {
		Claim replaced = this.draft.get(claim.key());
		int added = ClaimText.write(List.of(claim)).length;
		int freed = (replaced != null) ? ClaimText.write(List.of(replaced)).length : 0;
		if (this.draftBytes + added - freed > maxBytes) {
			return false;
		}
		this.draftBytes += added - freed;
		this.draft.put(claim.key(), claim);
		return true;
	}

	// Splits an unsettled batch by what the store holds: claims that are there exactly as
	// written are settled, the others wait for the next write.
	List<PendingClaim> settle() {
		List<PendingClaim> settled = new ArrayList<>();
		for (PendingClaim unsettled : takeBatch()) {
			Claim found = this.claims.get(unsettled.key);
			if (found != null && found.equals(unsettled.claim)) {
				settled.add(unsettled);
			}
			else {
				this.pending.add(unsettled);
			}
		}
		return settled;
	}

	List<PendingClaim> takeBatch() {
		List<PendingClaim> taken = new ArrayList<>(this.batch);
		this.batch.clear();
		return taken;
	}

	@Nullable PendingClaim takeAsking(Hash128 requestId) {
		for (PendingClaim claim : this.asking) {
			if (claim.requestId.equals(requestId)) {
				this.asking.remove(claim);
				return claim;
			}
		}
		return null;
	}

	void remove(Hash128 requestId) {
		this.pending.removeIf((claim) -> claim.requestId.equals(requestId));
		this.batch.removeIf((claim) -> claim.requestId.equals(requestId));
		this.asking.removeIf((claim) -> claim.requestId.equals(requestId));
	}

}
