package org.baobabknot.standin.links;

import java.net.InetSocketAddress;

/**
 * One forwarded port: its failure domains, its target and the number of bytes forwarded.
 */
final class Forwarder {

	private final String from;

	private final String to;

	private final InetSocketAddress target;

	private long forwardBytes;

	private long backwardBytes;

	Forwarder(String from, String to, InetSocketAddress target) {
		this.from = from;
		this.to = to;
		this.target = target;
	}

	String from() {
		return this.from;
	}

	String to() {
		return this.to;
	}

	InetSocketAddress target() {
		return this.target;
	}

	long forwardBytes() {
		return this.forwardBytes;
	}

	long backwardBytes() {
		return this.backwardBytes;
	}

	void recordBytes(boolean forward, int bytes) {
		if (forward) {
			this.forwardBytes += bytes;
		}
		else {
			this.backwardBytes += bytes;
		}
	}

}
