package org.baobabknot.mirror;

import java.util.concurrent.TimeUnit;

/**
 * Kinds of items, by what holds between a restore of the store and the moment at which
 * the writer of an item has written it again.
 */
public enum ItemKind {

	/**
	 * State whose writer only raises its version, such as a configuration. The newest
	 * known version holds: what was confirmed once does not come back older.
	 */
	VERSIONED(Long.MAX_VALUE) {
		@Override
		boolean keepsKnown(int order) {
			return order < 0;
		}
	},

	/**
	 * Failure domain out of service. It stays out while either the process or the
	 * restored store has it out, because a request too few there does less harm than one
	 * too many.
	 */
	CLOSED_DOMAIN(TimeUnit.SECONDS.toNanos(10)) {
		@Override
		boolean keepsKnown(int order) {
			return false;
		}
	},

	/**
	 * Target. What it has stated last holds, also that it leaves or has left. One that
	 * the restored store lacks has the time in which targets register again.
	 */
	TARGET(TimeUnit.SECONDS.toNanos(2)) {
		@Override
		boolean keepsKnown(int order) {
			return order < 0;
		}

		@Override
		boolean remembersRemovals() {
			return true;
		}
	},

	/**
	 * Registration of a process of this system under a lease. It is kept for as long as
	 * its process may act on it.
	 */
	REGISTRATION(TimeUnit.SECONDS.toNanos(10)) {
		@Override
		boolean keepsKnown(int order) {
			return false;
		}
	};

	private final long retentionNanos;

	ItemKind(long retentionNanos) {
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Returns how long an item is kept that the restored store lacks.
	 * @return time in ns, {@link Long#MAX_VALUE} until it is written again
	 */
	long retentionNanos() {
		return this.retentionNanos;
	}

	/**
	 * Returns whether the known value goes before the value of the restored store.
	 * @param order negative if the writer wrote the value of the store before the known
	 * one, positive if after, 0 if that can't be told
	 * @return whether the known value is kept
	 */
	abstract boolean keepsKnown(int order);

	/**
	 * Returns whether an item that was removed stays removed when the restored store has
	 * it.
	 * @return false if the item holds again
	 */
	boolean remembersRemovals() {
		return false;
	}

}
