package org.baobabknot.loader;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.distribution.FetchFailure;
import org.baobabknot.distribution.FetchRequest;
import org.baobabknot.distribution.Peer;
import org.baobabknot.distribution.ScheduledFetch;
import org.baobabknot.link.BulkWindow;
import org.baobabknot.weights.ChunkSet;
import org.baobabknot.weights.Manifest;
import org.baobabknot.weights.StoreResult;

/**
 * Fetches the chunks of one version, as planned by {@link ScheduledFetch}, and stages
 * each chunk at the engine as soon as it is verified. Confined to one event loop.
 */
final class VersionFetch {

	private static final long NANOS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final ChunkTransport transport;

	private final String model;

	private final long version;

	private final ChunkSet chunks;

	private final ScheduledFetch plan;

	private final Set<Integer> staged = new HashSet<>();

	private final long startNanos = System.nanoTime();

	private long lastChunkNanos;

	private int originChunks;

	private int corruptChunks;

	private boolean cancelled;

	private boolean superseded;

	private boolean stagingEnabled;

	VersionFetch(ChunkTransport transport, String model, long version, Manifest manifest, Peer self, BulkWindow window,
			boolean stageImmediately) {
		this.transport = transport;
		this.model = model;
		this.version = version;
		this.stagingEnabled = stageImmediately;
		this.chunks = new ChunkSet(manifest);
		this.plan = new ScheduledFetch(self, manifest.chunkCount(), window);
	}

	String model() {
		return this.model;
	}

	long version() {
		return this.version;
	}

	ChunkSet chunks() {
		return this.chunks;
	}

	long durationMs() {
		return (this.lastChunkNanos - this.startNanos) / NANOS_PER_MILLISECOND;
	}

	int originChunks() {
		return this.originChunks;
	}

	int corruptChunks() {
		return this.corruptChunks;
	}

	/**
	 * Returns whether all chunks are held and staged.
	 * @return whether the engine can load the version
	 */
	boolean staged() {
		return this.staged.size() == this.chunks.manifest().chunkCount();
	}

	/**
	 * Returns the time since the fetch was started.
	 * @return time in ms
	 */
	long elapsedMs() {
		return (System.nanoTime() - this.startNanos) / NANOS_PER_MILLISECOND;
	}

	/**
	 * Starts to replace the previous version in the engine's staging area with the chunks
	 * of this one.
	 */
	void startStaging() {
		this.stagingEnabled = true;
		stageHeldChunks();
	}

	/**
	 * Stops starting requests, because a newer version is fetched instead.
	 */
	void supersede() {
		this.superseded = true;
	}

	boolean superseded() {
		return this.superseded;
	}

	void cancel() {
		this.cancelled = true;
	}

	/**
	 * Marks a chunk to be staged again, after the engine has lost it or it has become
	 * corrupt there.
	 * @param index number of the chunk
	 */
	void restage(int index) {
		this.staged.remove(index);
	}

	/**
	 * Adds a chunk that was read from the engine's staging area. A chunk that does not
	 * match the manifest is ignored.
	 * @param index number of the chunk
	 * @param bytes the chunk
	 */
	void addStagedChunk(int index, byte[] bytes) {
		if (this.chunks.put(index, bytes) instanceof StoreResult.Stored) {
			this.plan.held(index);
			this.staged.add(index);
			this.transport.onChunkStored(this, index);
		}
	}

	/**
	 * Starts the requests that are due, or stages the chunks if all of them are held.
	 * @param members all loaders of the service
	 * @param holders loaders whose engine runs the version
	 */
	void startDueRequests(List<Peer> members, List<Peer> holders) {
		if (this.cancelled) {
			return;
		}
		if (this.chunks.complete()) {
			stageHeldChunks();
			return;
		}
		if (this.superseded) {
			return;
		}
		long now = System.nanoTime();
		this.plan.members(members, holders);
		startRequests(now);
	}

	/**
	 * Reuses the chunks that are the same in another version.
	 * @param other chunks of the other version
	 */
	void reuseUnchangedChunks(ChunkSet other) {
		this.chunks.copyMatchingChunks(other);
		for (int index = 0; index < this.chunks.manifest().chunkCount(); index++) {
			if (this.chunks.holds(index)) {
				this.plan.held(index);
			}
		}
	}

	/**
	 * Returns the reason to send to another loader that requests chunks that are not
	 * held.
	 * @return {@link FetchFailure#NOT_SUPPLIED} if the origin does not respond to this
	 * loader, otherwise {@link FetchFailure#NOT_HELD}
	 */
	FetchFailure missingReason() {
		return this.plan.missingChunkReason();
	}

	private void startRequests(long now) {
		for (FetchRequest step : this.plan.nextRequests(this.transport.linkDelayMs(), now)) {
			int index = step.chunks().get(0);
			if (step.source().isEmpty()) {
				this.originChunks++;
				this.transport.fetchFromOrigin(this.model, this.version, index)
					.thenAccept((bytes) -> handleChunkResponse(step,
							new ChunkResponse(bytes.orElse(new byte[0]), FetchFailure.UNREACHABLE, 0)));
			}
			else if (step.transfer()) {
				this.transport.fetchFromPeer(step.source().get().instance(), this.model, this.version, index)
					.thenAccept((response) -> handleChunkResponse(step, response));
			}
			else {
				this.transport.queryHeld(step.source().get().instance(), this.model, this.version, step.chunks())
					.thenAccept((heldChunks) -> handleHeldChunks(step, heldChunks));
			}
		}
	}

	private void handleHeldChunks(FetchRequest step, HeldChunks heldChunks) {
		long now = System.nanoTime();
		List<Integer> requested = heldChunks.held().stream().filter(step.chunks()::contains).toList();
		if (requested.isEmpty()) {
			// The next request is left to the next tick: a source that fails immediately
			// would otherwise be queried as fast as it fails.
			this.plan.recordFailure(step, heldChunks.failure(), now);
			return;
		}
		this.plan.recordOffer(step, requested);
		startMoreRequests(now);
	}

	private void startMoreRequests(long now) {
		if (!this.superseded && !this.cancelled) {
			startRequests(now);
		}
	}

	private void handleChunkResponse(FetchRequest step, ChunkResponse response) {
		long now = System.nanoTime();
		int index = step.chunks().get(0);
		if (response.bytes().length == 0) {
			this.plan.recordFailure(step, response.failure(), now);
		}
		else if (this.cancelled) {
			this.plan.recordTransfer(step, response.transferMs(), this.transport.linkDelayMs(), now);
		}
		else if (this.chunks.put(index, response.bytes()) instanceof StoreResult.Corrupt) {
			this.corruptChunks++;
			this.plan.recordCorruption(step, response.transferMs(), this.transport.linkDelayMs(), now);
		}
		else {
			this.plan.recordTransfer(step, response.transferMs(), this.transport.linkDelayMs(), now);
			this.lastChunkNanos = now;
			stage(index);
			this.transport.onChunkStored(this, index);
			startMoreRequests(now);
		}
	}

	private void stageHeldChunks() {
		for (int index = 0; index < this.chunks.manifest().chunkCount(); index++) {
			if (this.chunks.holds(index) && !this.staged.contains(index)) {
				stage(index);
			}
		}
	}

	private void stage(int index) {
		if (this.cancelled || !this.stagingEnabled || !this.staged.add(index)) {
			return;
		}
		this.transport.stage(this.model, this.version, index, this.chunks.chunk(index)).thenAccept((done) -> {
			if (!done) {
				this.staged.remove(index);
			}
		});
	}

	/**
	 * Transfers chunks from the origin and other loaders to this process, and from this
	 * process to the engine.
	 */
	interface ChunkTransport {

		/**
		 * Fetches a chunk from the origin.
		 * @param model the model
		 * @param version the version
		 * @param index number of the chunk
		 * @return the chunk, empty if the request failed
		 */
		CompletableFuture<Optional<byte[]>> fetchFromOrigin(String model, long version, int index);

		/**
		 * Queries another loader for the chunks that it holds. It responds as soon as it
		 * holds one of them.
		 * @param host address of the loader
		 * @param model the model
		 * @param version the version
		 * @param indices numbers of the wanted chunks
		 * @return the chunks that it holds, or why it holds none
		 */
		CompletableFuture<HeldChunks> queryHeld(String host, String model, long version, List<Integer> indices);

		/**
		 * Fetches a chunk from another loader.
		 * @param host address of the loader
		 * @param model the model
		 * @param version the version
		 * @param index number of the chunk
		 * @return the chunk, or why there is none
		 */
		CompletableFuture<ChunkResponse> fetchFromPeer(String host, String model, long version, int index);

		/**
		 * Returns the time for which bytes wait at the link of this machine.
		 * @return time in ms
		 */
		double linkDelayMs();

		/**
		 * Stages a chunk at the engine.
		 * @param model the model
		 * @param version version of the chunk
		 * @param index number of the chunk
		 * @param bytes the chunk
		 * @return whether the engine has stored it
		 */
		CompletableFuture<Boolean> stage(String model, long version, int index, byte[] bytes);

		/**
		 * Called when a chunk was verified and can be served to other loaders.
		 * @param fetch fetch of the version
		 * @param index number of the chunk
		 */
		void onChunkStored(VersionFetch fetch, int index);

	}

	/**
	 * Response of another loader to a query for the chunks that it holds.
	 *
	 * @param held numbers of the wanted chunks that it holds, empty if there are none
	 * @param failure why there are none
	 */
	record HeldChunks(List<Integer> held, FetchFailure failure) {
	}

	/**
	 * Response of another loader or the origin to a request for a chunk.
	 *
	 * @param bytes the chunk, empty if there is none
	 * @param failure why there is none
	 * @param transferMs time that the transfer took, without the delay at the sender, in
	 * ms; 0 for the origin
	 */
	record ChunkResponse(byte[] bytes, FetchFailure failure, double transferMs) {

		static ChunkResponse missing(FetchFailure failure) {
			return new ChunkResponse(new byte[0], failure, 0);
		}

	}

}
