package org.baobabknot.agent.weights;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.baobabknot.distribution.FetchFailure;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.ChunkPart;
import org.baobabknot.protocol.generated.ChunkRefusal;
import org.baobabknot.protocol.generated.ChunkRequest;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.ManifestPull;

/**
 * Fetches one chunk or a manifest from a peer. The parts of a chunk must arrive in order
 * and add up to the expected length; otherwise the chunk is corrupt.
 */
final class PeerTransfer implements FrameHandler {

	/**
	 * Time without a frame after which a transfer counts as stalled. An established
	 * connection can stop delivering data without being closed.
	 */
	private static final long STALL_TIMEOUT_MS = 3_000;

	private final byte[] bytes;

	private final CompletableFuture<FetchResult> result = new CompletableFuture<>();

	private int receivedBytes;

	private long receivedFrames;

	private PeerTransfer(int length) {
		this.bytes = new byte[length];
	}

	static CompletableFuture<FetchResult> fetchChunk(Connection connection, String digest, int index, int length) {
		PeerTransfer transfer = new PeerTransfer(length);
		ChunkRequest.Builder request = ChunkRequest.newBuilder().setDigest(digest).setIndex(index);
		transfer.start(connection, Frame.newBuilder().setChunkRequest(request));
		return transfer.result;
	}

	static CompletableFuture<FetchResult> fetchManifest(Connection connection, String service, String version,
			String digest) {
		PeerTransfer transfer = new PeerTransfer(0);
		ManifestPull.Builder pull = ManifestPull.newBuilder().setService(service).setVersion(version).setDigest(digest);
		transfer.start(connection, Frame.newBuilder().setManifestPull(pull));
		return transfer.result;
	}

	private void start(Connection connection, Frame.Builder first) {
		Stream stream = connection.open(first, this);
		this.result.whenComplete((fetched, error) -> stream.close());
		scheduleStallCheck(connection, 0);
	}

	private void scheduleStallCheck(Connection connection, long previousFrames) {
		connection.eventLoop().schedule(() -> {
			if (!this.result.isDone() && this.receivedFrames == previousFrames) {
				connection.close(new ConnectionFailure("transfer", connection.peerName(), "no part arrived in time"));
				this.result.complete(new FetchResult.Failed(FetchFailure.UNREACHABLE));
			}
			else if (!this.result.isDone()) {
				scheduleStallCheck(connection, this.receivedFrames);
			}
		}, STALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void onFrame(Stream stream, Frame frame) {
		this.receivedFrames++;
		if (frame.hasChunkPart()) {
			addPart(frame.getChunkPart());
		}
		else if (frame.hasManifestValue()) {
			ByteString value = frame.getManifestValue().getValue();
			this.result.complete(value.isEmpty() ? new FetchResult.Failed(FetchFailure.NOT_HELD)
					: new FetchResult.Completed(value.toByteArray()));
		}
		else if (frame.hasChunkRefused()) {
			boolean busy = frame.getChunkRefused().getReason() == ChunkRefusal.NO_UPLOAD_SLOT;
			this.result.complete(new FetchResult.Failed(busy ? FetchFailure.BUSY : FetchFailure.NOT_HELD));
		}
	}

	private void addPart(ChunkPart part) {
		int length = part.getData().size();
		if (part.getOffset() != this.receivedBytes || length > this.bytes.length - this.receivedBytes) {
			this.result.complete(new FetchResult.Failed(FetchFailure.CORRUPT));
			return;
		}
		part.getData().copyTo(this.bytes, this.receivedBytes);
		this.receivedBytes += length;
		if (part.getLast()) {
			this.result.complete((this.receivedBytes == this.bytes.length) ? new FetchResult.Completed(this.bytes)
					: new FetchResult.Failed(FetchFailure.CORRUPT));
		}
	}

	@Override
	public void onConnectionLost(Stream stream, ConnectionFailure failure) {
		this.result.complete(new FetchResult.Failed(FetchFailure.UNREACHABLE));
	}

}
