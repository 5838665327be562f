package org.baobabknot.entry;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.Frame;

/**
 * Body of a request that is forwarded to an agent. A small body is buffered so that it
 * can be sent again in another attempt. Parts of a larger body are dropped once sent,
 * after which the request cannot be retried.
 */
final class RequestBody {

	// Equal to the initial credit of a stream: no more is sent to an agent that refuses
	// the request, because it has not granted further credit.
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
	 * Sends all parts received so far on the stream of a new attempt.
	 * @param stream the new stream
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
	 * Drops sent parts if the body is too large to be buffered.
	 */
	void dropSentParts() {
		if (!this.keepAll && this.length > MAX_REPLAY_BYTES) {
			this.bufferedParts.clear();
			this.partsDropped = true;
		}
	}

}
