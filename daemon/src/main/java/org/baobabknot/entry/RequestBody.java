package org.baobabknot.entry;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.Frame;

/**
 * Body of a request on its way to an agent. Parts are kept for a further attempt as long
 * as the body is small; a larger body is passed on only and the request cannot be sent
 * again once parts are dropped.
 */
final class RequestBody {

	// Equal to the initial credit of a stream: an agent that refuses has not
	// granted more.
	static final int MAX_REPLAY_BYTES = 256 << 10;

	private final List<ByteString> bufferedParts = new ArrayList<>();

	private final boolean keepAll;

	private long length;

	private boolean ended;

	private boolean partsDropped;

	RequestBody(boolean keepAll) {
		this.keepAll = keepAll;
	}

	void add(ByteString part) {
		this.length += part.size();
		if (!part.isEmpty()) {
			this.bufferedParts.add(part);
		}
	}

	void end() {
		this.ended = true;
	}

	boolean ended() {
		return this.ended;
	}

	long length() {
		return this.length;
	}

	boolean replayable() {
		return !this.partsDropped;
	}

	ByteString firstPart() {
		return (this.bufferedParts.isEmpty()) ? ByteString.EMPTY : this.bufferedParts.get(0);
	}

	List<ByteString> parts() {
		return this.bufferedParts;
	}

	/**
	 * Sends all that has arrived on a new stream.
	 * @param stream the stream
	 */
	void replay(Stream stream) {
		this.bufferedParts.forEach(stream::sendBody);
		dropSentParts();
		if (this.ended) {
			sendEnd(stream);
		}
	}

	void sendEnd(Stream stream) {
		stream.send(Frame.newBuilder().setBodyEnd(BodyEnd.newBuilder().setLength(this.length)));
	}

	/**
	 * Drops parts that were sent if the body is too large to be kept.
	 */
	void dropSentParts() {
		if (!this.keepAll && this.length > MAX_REPLAY_BYTES) {
			this.bufferedParts.clear();
			this.partsDropped = true;
		}
	}

}
