package org.baobabknot.agent.weights;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.baobabknot.daemon.Node;
import org.baobabknot.distribution.Pacer;
import org.baobabknot.distribution.UploadSlots;
import org.baobabknot.origin.ManifestJson;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.ChunkPart;
import org.baobabknot.protocol.generated.ChunkRefusal;
import org.baobabknot.protocol.generated.ChunkRefused;
import org.baobabknot.protocol.generated.ChunkRequest;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.ManifestPull;
import org.baobabknot.protocol.generated.ManifestValue;
import org.baobabknot.weights.ChunkSet;
import org.jspecify.annotations.Nullable;

/**
 * Serves manifests and chunks to other agents, paced and with a bounded number of
 * transfers at once.
 */
final class ChunkServer {

	/** Bytes of one part, so that no frame blocks a socket's queue for long. */
	private static final int PART_BYTES = 64 * 1024;

	/** Wait before a full socket queue is looked at again. */
	private static final long QUEUE_MILLIS = 5;

	/** Time after which a refused peer may ask again. */
	private static final int RETRY_MILLIS = 100;

	private final Node node;

	private final WeightStore store;

	private final UploadSlots slots = new UploadSlots(UploadSlots.DEFAULT_SLOTS);

	private final Pacer machine;

	private final Pacer region;

	ChunkServer(Node node, WeightStore store) {
		this.node = node;
		this.store = store;
		this.machine = pacer(node, node.settings().links().machineBytesPerSecond());
		this.region = pacer(node, node.settings().links().regionBytesPerSecond() / 2);
		node.streams().on(Frame.BodyCase.MANIFEST_PULL, (stream, first) -> manifest(stream, first.getManifestPull()));
		node.streams().on(Frame.BodyCase.CHUNK_REQUEST, (stream, first) -> chunk(stream, first.getChunkRequest()));
	}

	private static Pacer pacer(Node node, long bytesPerSecond) {
		long rate = (bytesPerSecond > 0) ? bytesPerSecond : Long.MAX_VALUE / 4;
		return new Pacer(rate, 1, PART_BYTES, node.now());
	}

	private @Nullable FrameHandler manifest(Stream stream, ManifestPull pull) {
		ByteString value = this.store.find(pull.getDigest())
			.map((set) -> ByteString.copyFrom(ManifestJson.write(set.manifest())))
			.orElse(ByteString.EMPTY);
		stream.send(Frame.newBuilder().setManifestValue(ManifestValue.newBuilder().setValue(value)));
		return null;
	}

	private @Nullable FrameHandler chunk(Stream stream, ChunkRequest request) {
		Optional<ChunkSet> set = this.store.find(request.getDigest());
		if (set.isEmpty()) {
			return refuse(stream, ChunkRefusal.NO_SUCH_VERSION);
		}
		if (!set.get().holds(request.getIndex())) {
			return refuse(stream, ChunkRefusal.NOT_HELD);
		}
		boolean inward = !stream.connection()
			.peerHello()
			.getFailureDomain()
			.equals(this.node.settings().failureDomain());
		if (!this.slots.tryAcquire(inward)) {
			return refuse(stream, ChunkRefusal.NO_UPLOAD_SLOT);
		}
		boolean far = !stream.connection().peerHello().getRegion().equals(this.node.settings().region());
		Upload upload = new Upload(stream, set.get().chunk(request.getIndex()), inward, far);
		stream.eventLoop().execute(upload::next);
		return upload;
	}

	private static @Nullable FrameHandler refuse(Stream stream, ChunkRefusal reason) {
		stream.send(Frame.newBuilder()
			.setChunkRefused(ChunkRefused.newBuilder().setReason(reason).setRetryAfterMs(RETRY_MILLIS)));
		return null;
	}

	// Counts bytes of live requests, to which bulk bytes yield.
	void live(long bytes) {
		this.machine.recordLiveBytes(bytes, this.node.now());
	}

	private final class Upload implements FrameHandler {

		private final Stream stream;

		private final byte[] bytes;

		private final boolean inward;

		private final boolean far;

		private int offset;

		private boolean ended;

		private Upload(Stream stream, byte[] bytes, boolean inward, boolean far) {
			this.stream = stream;
			this.bytes = bytes;
			this.inward = inward;
			this.far = far;
		}

		private void next() {
			while (!this.ended) {
				if (!this.stream.connection().isWritable()) {
					later(TimeUnit.MILLISECONDS.toNanos(QUEUE_MILLIS));
					return;
				}
				int length = Math.min(PART_BYTES, this.bytes.length - this.offset);
				long wait = pace(length);
				if (wait > 0) {
					later(wait);
					return;
				}
				boolean last = this.offset + length == this.bytes.length;
				this.stream.send(Frame.newBuilder()
					.setChunkPart(ChunkPart.newBuilder()
						.setOffset(this.offset)
						.setData(UnsafeByteOperations.unsafeWrap(this.bytes, this.offset, length))
						.setLast(last)));
				this.offset += length;
				if (last) {
					this.stream.close();
					end();
				}
			}
		}

		private long pace(int length) {
			long now = ChunkServer.this.node.now();
			long wait = ChunkServer.this.machine.tryTake(length, now);
			return (wait == 0 && this.far) ? ChunkServer.this.region.tryTake(length, now) : wait;
		}

		private void later(long nanos) {
			this.stream.eventLoop().schedule(this::next, nanos, TimeUnit.NANOSECONDS);
		}

		private void end() {
			if (!this.ended) {
				this.ended = true;
				ChunkServer.this.slots.release(this.inward);
			}
		}

		@Override
		public void onFrame(Stream from, Frame frame) {
			if (frame.hasCancel()) {
				end();
				from.close();
			}
		}

		@Override
		public void onConnectionLost(Stream from, Failure failure) {
			end();
		}

	}

}
