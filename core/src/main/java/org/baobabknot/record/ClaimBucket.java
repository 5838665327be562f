package org.baobabknot.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * State of one bucket in a {@link ClaimRegistry}. Guarded by the lock of the registry.
 */
final class ClaimBucket {

	final int number;

	/**
	 * Requests whose claims are part of the next write.
	 */
	final List<PendingClaim> pending = new ArrayList<>();

	/**
	 * Requests whose claims are part of a write whose outcome is not known yet.
	 */
	final List<PendingClaim> batch = new ArrayList<>();

	/**
	 * Requests whose key is claimed by another agent that has not yet resolved its claim.
	 */
	final List<PendingClaim> resolving = new ArrayList<>();

	/**
	 * Claims of the bucket as the next write stores them.
	 */
	Map<Hash128, Claim> draft = new LinkedHashMap<>();

	/**
	 * Id of the store operation in flight, or 0.
	 */
	long operationId;

	boolean loaded;

	long version;

	boolean hasWritten;

	long lastWriteNanos;

	boolean wakeUpScheduled;

	private Map<Hash128, Claim> claims = new LinkedHashMap<>();

	private int draftBytes;

	ClaimBucket(int number) {
		this.number = number;
	}

	void load(BucketReadResult result) {
		Map<Hash128, Claim> readClaims = new LinkedHashMap<>();
		long readVersion = 0;
		if (result instanceof BucketReadResult.Value value) {
			for (Claim claim : ClaimCodec.decode(value.value())) {
				readClaims.put(claim.key(), claim);
			}
			readVersion = value.version();
		}
		this.claims = readClaims;
		this.version = readVersion;
		this.loaded = true;
	}

	void adoptDraft(long newVersion) {
		this.claims = this.draft;
		this.draft = new LinkedHashMap<>();
		this.version = newVersion;
		this.loaded = true;
	}

	void invalidate() {
		this.loaded = false;
		this.claims = new LinkedHashMap<>();
	}

	void draft(long nowSeconds, long retentionSeconds) {
		this.draft = new LinkedHashMap<>();
		this.draftBytes = 0;
		for (Claim claim : this.claims.values()) {
			if (!claim.isExpired(nowSeconds, retentionSeconds)) {
				this.draft.put(claim.key(), claim);
				this.draftBytes += ClaimCodec.encode(List.of(claim)).length;
			}
		}
	}

	boolean tryAddToDraft(Claim claim, int maxBytes) {
		Claim replaced = this.draft.get(claim.key());
		int addedBytes = ClaimCodec.encode(List.of(claim)).length;
		int freedBytes = (replaced != null) ? ClaimCodec.encode(List.of(replaced)).length : 0;
		if (this.draftBytes + addedBytes - freedBytes > maxBytes) {
			return false;
		}
		this.draftBytes += addedBytes - freedBytes;
		this.draft.put(claim.key(), claim);
		return true;
	}

	// Compares the claims of a write with unknown outcome to the store. Claims that are
	// stored exactly as written are confirmed; the others become pending again for the
	// next write.
	List<PendingClaim> takeConfirmed() {
		List<PendingClaim> confirmed = new ArrayList<>();
		for (PendingClaim unconfirmed : takeBatch()) {
			Claim storedClaim = this.claims.get(unconfirmed.key);
			if (storedClaim != null && storedClaim.equals(unconfirmed.claim)) {
				confirmed.add(unconfirmed);
			}
			else {
				this.pending.add(unconfirmed);
			}
		}
		return confirmed;
	}

	List<PendingClaim> takeBatch() {
		List<PendingClaim> taken = new ArrayList<>(this.batch);
		this.batch.clear();
		return taken;
	}

	@Nullable PendingClaim takeResolving(Hash128 requestId) {
		for (PendingClaim claim : this.resolving) {
			if (claim.requestId.equals(requestId)) {
				this.resolving.remove(claim);
				return claim;
			}
		}
		return null;
	}

	void remove(Hash128 requestId) {
		this.pending.removeIf((claim) -> claim.requestId.equals(requestId));
		this.batch.removeIf((claim) -> claim.requestId.equals(requestId));
		this.resolving.removeIf((claim) -> claim.requestId.equals(requestId));
	}

}
