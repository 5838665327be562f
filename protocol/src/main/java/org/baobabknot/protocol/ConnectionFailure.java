package org.baobabknot.protocol;

/**
 * Step and cause of a failed exchange with a peer.
 *
 * @param step the step that failed, such as {@code connect}, {@code hello} or
 * {@code ping}
 * @param peer instance name or address of the peer
 * @param detail the cause in one line
 */
public record ConnectionFailure(String step, String peer, String detail) {

	@Override
	public String toString() {
		return this.step + " with " + this.peer + " failed: " + this.detail;
	}

}
