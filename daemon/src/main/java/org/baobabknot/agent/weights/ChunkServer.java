package org.baobabknot.agent.weights;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.distribution.Pacer;
import org.baobabknot.distribution.UploadSlots;
import org.baobabknot.origin.ManifestJson;
import org.baobabknot.protocol.ConnectionFailure;
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
 * Serves manifests and chunks to other agents. Limits the rate and the number of
 * concurrent chunk uploads.
 */
final class ChunkServer {

	/**
	 * Limits the size of a frame, so that no frame blocks the send queue of a socket for
	 * long.
	 */
	private static final int MAX_PART_BYTES = 64 * 1024;

	/** Delay before the send queue of a socket, when full, is checked again. */
	private static final long QUEUE_CHECK_INTERVAL_MS = 5;

	/** Delay after which a refused peer may retry. */
	private static final int RETRY_AFTER_MS = 100;

	private final ProcessContext process;

	private final WeightStore store;

	private final UploadSlots slots = new UploadSlots(UploadSlots.DEFAULT_SLOTS);

	private final Pacer machinePacer;

	private final Pacer regionPacer;

	ChunkServer(ProcessContext process, WeightStore store) {
		this.process = process;
		this.store = store;
		this.machinePacer = pacer(process, process.settings().links().machineBytesPerSecond());
		this.regionPacer = pacer(process, process.settings().links().regionBytesPerSecond() / 2);
		process.streams()
			.addAcceptor(Frame.BodyCase.MANIFEST_PULL,
					(stream, first) -> sendManifest(stream, first.getManifestPull()));
		process.streams()
			.addAcceptor(Frame.BodyCase.CHUNK_REQUEST, (stream, first) -> serveChunk(stream, first.getChunkRequest()));
	}

	private static Pacer pacer(ProcessContext process, long bytesPerSecond) {
		long rate = (bytesPerSecond > 0) ? bytesPerSecond : Long.MAX_VALUE / 4;
		return new Pacer(rate, 1, MAX_PART_BYTES, process.nowNanos());
	}

	private @Nullable FrameHandler sendManifest(Stream stream, ManifestPull pull) {
		ByteString value = this.store.find(pull.getDigest())
			.map((set) -> ByteString.copyFrom(ManifestJson.write(set.manifest())))
			.orElse(ByteString.EMPTY);
		stream.send(Frame.newBuilder().setManifestValue(ManifestValue.newBuilder().setValue(value)));
		return null;
	}

	private @Nullable FrameHandler serveChunk(Stream stream, ChunkRequest request) {
		Optional<ChunkSet> set = this.store.find(request.getDigest());
		if (set.isEmpty()) {
			return refuse(stream, ChunkRefusal.NO_SUCH_VERSION);
		}
		if (!set.get().holds(request.getIndex())) {
			return refuse(stream, ChunkRefusal.NOT_HELD);
		}
		boolean otherDomain = !stream.connection()
			.peerHello()
			.getFailureDomain()
			.equals(this.process.settings().failureDomain());
		if (!this.slots.tryAcquire(otherDomain)) {
			return refuse(stream, ChunkRefusal.NO_UPLOAD_SLOT);
		}
		boolean otherRegion = !stream.connection().peerHello().getRegion().equals(this.process.settings().region());
		Upload upload = new Upload(stream, set.get().chunk(request.getIndex()), otherDomain, otherRegion);
		stream.eventLoop().execute(upload::sendNextParts);
		return upload;
	}

	private static @Nullable FrameHandler refuse(Stream stream, ChunkRefusal reason) {
		stream.send(Frame.newBuilder()
			.setChunkRefused(ChunkRefused.newBuilder().setReason(reason).setRetryAfterMs(RETRY_AFTER_MS)));
		return null;
	}

	// Records bytes of live requests, to which uploads yield.
	void recordLiveBytes(long bytes) {
		this.machinePacer.recordLiveBytes(bytes, this.process.nowNanos());
	}

	private final class Upload implements FrameHandler {

		private final Stream stream;

		private final byte[] bytes;

		private final boolean otherDomain;

		private final boolean otherRegion;

		private int offset;

		private boolean ended;

		private Upload(Stream stream, byte[] bytes, boolean otherDomain, boolean otherRegion) {
			this.stream = stream;
			this.bytes = bytes;
			this.otherDomain = otherDomain;
			this.otherRegion = otherRegion;
		}

		private void sendNextParts() {
			while (!this.ended) {
				if (!this.stream.connection().isWritable()) {
					scheduleNextParts(TimeUnit.MILLISECONDS.toNanos(QUEUE_CHECK_INTERVAL_MS));
					return;
				}
				int length = Math.min(MAX_PART_BYTES, this.bytes.length - this.offset);
				long delayNanos = reserveNanos(length);
				if (delayNanos > 0) {
					scheduleNextParts(delayNanos);
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
					finish();
				}
			}
		}

		private long reserveNanos(int length) {
			long now = ChunkServer.this.process.nowNanos();
			long delayNanos = ChunkServer.this.machinePacer.tryTake(length, now);
			return (delayNanos == 0 && this.otherRegion) ? ChunkServer.this.regionPacer.tryTake(length, now)
					: delayNanos;
		}

		private void scheduleNextParts(long nanos) {
			this.stream.eventLoop().schedule(this::sendNextParts, nanos, TimeUnit.NANOSECONDS);
		}

		private void finish() {
			if (!this.ended) {
				this.ended = true;
				ChunkServer.this.slots.release(this.otherDomain);
			}
		}

		@Override
		public void onFrame(Stream from, Frame frame) {
			if (frame.hasCancel()) {
				finish();
				from.close();
			}
		}

		@Override
		public void onConnectionLost(Stream from, ConnectionFailure failure) {
			finish();
		}

	}

}
