package org.baobabknot.distribution;

/**
 * Limits the chunks that an agent serves concurrently. Requests from other failure
 * domains have separate slots: all agents of a domain wait for the chunks that its domain
 * fetchers fetch, while requests from the agent's own domain can be served by others.
 * Thread-safe.
 */
public final class UploadSlots {

	/**
	 * Upload slots per agent: fewer leave its link idle, more slow down each transfer.
	 */
	public static final int DEFAULT_SLOTS = 4;

	private final int slotsPerGroup;

	private int ownDomainInUse;

	private int otherDomainsInUse;

	/**
	 * Creates the slots, all of them free.
	 * @param slots slots for the own failure domain, and as many for all others
	 */
	public UploadSlots(int slots) {
		this.slotsPerGroup = slots;
	}

	/**
	 * Takes a slot if one is free.
	 * @param otherDomain whether the request comes from another failure domain
	 * @return true when a slot was taken
	 */
	public synchronized boolean tryAcquire(boolean otherDomain) {
		if ((otherDomain ? this.otherDomainsInUse : this.ownDomainInUse) >= this.slotsPerGroup) {
			return false;
		}
		adjust(otherDomain, 1);
		return true;
	}

	/**
	 * Releases a slot.
	 * @param otherDomain the same value as when the slot was taken
	 */
	public synchronized void release(boolean otherDomain) {
		if ((otherDomain ? this.otherDomainsInUse : this.ownDomainInUse) == 0) {
			throw new IllegalStateException("no upload slot is in use");
		}
		adjust(otherDomain, -1);
	}

	private void adjust(boolean otherDomain, int change) {
		if (otherDomain) {
			this.otherDomainsInUse += change;
		}
		else {
			this.ownDomainInUse += change;
		}
	}

}
