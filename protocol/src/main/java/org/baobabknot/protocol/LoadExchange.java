package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Leaves service, version and digest out of a Pong that repeats them. They make up two
 * thirds of a Pong and change only with a switch of version; an entry has more than a
 * hundred connections and 15 KB/s for control. Not thread-safe: used on the event loop of
 * the connection, whose frames arrive in order.
 */
final class LoadExchange {

	private @Nullable Load sent;

	private @Nullable Load received;

	/**
	 * Returns the load as sent to the peer.
	 * @param own load on the target of this process
	 * @return the load, without its identity if the previous one had the same
	 */
	Load forPong(Load own) {
		Load previous = this.sent;
		this.sent = own;
		if (previous == null || !sameIdentity(previous, own)) {
			return own;
		}
		return own.toBuilder().clearService().clearVersion().clearDigest().setIdentityUnchanged(true).build();
	}

	/**
	 * Completes a load received in a Pong.
	 * @param reported the load as received
	 * @return the load with its identity
	 */
	Load received(Load reported) {
		Load previous = this.received;
		Load whole = reported;
		if (reported.getIdentityUnchanged() && previous != null) {
			whole = reported.toBuilder()
				.setService(previous.getService())
				.setVersion(previous.getVersion())
				.setDigest(previous.getDigest())
				.clearIdentityUnchanged()
				.build();
		}
		this.received = whole;
		return whole;
	}

	private static boolean sameIdentity(Load left, Load right) {
		return left.getService().equals(right.getService()) && left.getVersion().equals(right.getVersion())
				&& left.getDigest().equals(right.getDigest());
	}

}
