package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the loads exchanged on one connection. A Pong whose service,
 * version and digest equal those of the previous Pong omits them: they make up two thirds
 * of a Pong and change only with a switch of version, while an entry has more than a
 * hundred connections and a budget of 15 KB/s for control traffic. Not thread-safe: used
 * on the event loop of the connection, whose frames arrive in order.
 */
final class LoadExchange {

	private @Nullable Load lastSent;

	private @Nullable Load lastReceived;

	private volatile @Nullable Load latest;

	/**
	 * Returns the load in the last Pong, ResponseStart or Refused of the peer. May be
	 * called on any thread.
	 * @return the load, {@code null} before the first
	 */
	@Nullable Load latest() {
		return this.latest;
	}

	/**
	 * Records the load in a frame of a request, if it has one.
	 * @param frame a frame that is not a Pong
	 */
	void recordLoad(Frame frame) {
		if (frame.hasResponseStart() && frame.getResponseStart().hasLoad()) {
			this.latest = frame.getResponseStart().getLoad();
		}
		else if (frame.hasRefused() && frame.getRefused().hasLoad()) {
			this.latest = frame.getRefused().getLoad();
		}
	}

	/**
	 * Returns the load in the form that is sent to the peer.
	 * @param current load on the target of this process
	 * @return the load, without service, version and digest if the previous one had the
	 * same
	 */
	Load encode(Load current) {
		Load previous = this.lastSent;
		this.lastSent = current;
		if (previous == null || !hasSameIdentity(previous, current)) {
			return current;
		}
		return current.toBuilder().clearService().clearVersion().clearDigest().setIdentityUnchanged(true).build();
	}

	/**
	 * Restores omitted fields of a load received in a Pong.
	 * @param reported the load as received
	 * @return the load with service, version and digest
	 */
	Load decode(Load reported) {
		Load previous = this.lastReceived;
		Load decoded = reported;
		if (reported.getIdentityUnchanged() && previous != null) {
			decoded = reported.toBuilder()
				.setService(previous.getService())
				.setVersion(previous.getVersion())
				.setDigest(previous.getDigest())
				.clearIdentityUnchanged()
				.build();
		}
		this.lastReceived = decoded;
		this.latest = decoded;
		return decoded;
	}

	private static boolean hasSameIdentity(Load left, Load right) {
		return left.getService().equals(right.getService()) && left.getVersion().equals(right.getVersion())
				&& left.getDigest().equals(right.getDigest());
	}

}
