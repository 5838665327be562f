package org.baobabknot.agent.weights;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.baobabknot.distribution.FetchFailure;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.ChunkPart;
import org.baobabknot.protocol.generated.ChunkRefusal;
import org.baobabknot.protocol.generated.ChunkRequest;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.ManifestPull;

/**
 * Fetches one chunk or a manifest from a peer. Parts must arrive in order and fill the
 * expected length exactly; everything else is corrupt.
 */
final class PeerTransfer implements FrameHandler {

	/**
	 * Time without a part after which a transfer has stalled. An established connection
	 * can stop delivering data for ever.
	 */
	private static final long STALL_MILLIS = 3_000;

	private final byte[] bytes;

	private final CompletableFuture<Fetched> result = new CompletableFuture<>();

	private int filled;

	private long progress;

	private PeerTransfer(int length) {
		this.bytes = new byte[length];
	}

	static CompletableFuture<Fetched> chunk(Connection connection, String digest, int index, int length) {
		PeerTransfer transfer = new PeerTransfer(length);
		ChunkRequest.Builder request = ChunkRequest.newBuilder().setDigest(digest).setIndex(index);
		transfer.start(connection, Frame.newBuilder().setChunkRequest(request));
		return transfer.result;
	}

	static CompletableFuture<Fetched> manifest(Connection connection, String service, String version, String digest) {
		PeerTransfer transfer = new PeerTransfer(0);
		ManifestPull.Builder pull = ManifestPull.newBuilder().setService(service).setVersion(version).setDigest(digest);
		transfer.start(connection, Frame.newBuilder().setManifestPull(pull));
		return transfer.result;
	}

	private void start(Connection connection, Frame.Builder first) {
		Stream stream = connection.open(first, this);
		this.result.whenComplete((fetched, error) -> stream.close());
		watch(connection, 0);
	}

	private void watch(Connection connection, long seen) {
		connection.eventLoop().schedule(() -> {
			if (!this.result.isDone() && this.progress == seen) {
				connection.close(new Failure("transfer", connection.peerName(), "no part arrived in time"));
				this.result.complete(new Fetched.NotFetched(FetchFailure.UNREACHABLE));
			}
			else if (!this.result.isDone()) {
				watch(connection, this.progress);
			}
		}, STALL_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void onFrame(Stream stream, Frame frame) {
		this.progress++;
		if (frame.hasChunkPart()) {
			part(frame.getChunkPart());
		}
		else if (frame.hasManifestValue()) {
			ByteString value = frame.getManifestValue().getValue();
			this.result.complete(value.isEmpty() ? new Fetched.NotFetched(FetchFailure.NOT_HELD)
					: new Fetched.Bytes(value.toByteArray()));
		}
		else if (frame.hasChunkRefused()) {
			boolean busy = frame.getChunkRefused().getReason() == ChunkRefusal.NO_UPLOAD_SLOT;
			this.result.complete(new Fetched.NotFetched(busy ? FetchFailure.BUSY : FetchFailure.NOT_HELD));
		}
	}

	private void part(ChunkPart part) {
		int length = part.getData().size();
		if (part.getOffset() != this.filled || length > this.bytes.length - this.filled) {
			this.result.complete(new Fetched.NotFetched(FetchFailure.CORRUPT));
			return;
		}
		part.getData().copyTo(this.bytes, this.filled);
		this.filled += length;
		if (part.getLast()) {
			this.result.complete((this.filled == this.bytes.length) ? new Fetched.Bytes(this.bytes)
					: new Fetched.NotFetched(FetchFailure.CORRUPT));
		}
	}

	@Override
	public void onConnectionLost(Stream stream, Failure failure) {
		this.result.complete(new Fetched.NotFetched(FetchFailure.UNREACHABLE));
	}

}
