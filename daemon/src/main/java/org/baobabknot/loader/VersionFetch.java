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
 * Fetches one version as {@link ScheduledFetch} decides and stages each chunk at the
 * engine as soon as it is verified. Runs on one event loop.
 */
final class VersionFetch {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final Sources sources;

	private final String model;

	private final long version;

	private final ChunkSet chunks;

	private final ScheduledFetch plan;

	private final Set<Integer> staged = new HashSet<>();

	private final long startNanos = System.nanoTime();

	private long completeNanos;

	private int fromOrigin;

	private int corrupt;

	private boolean cancelled;

	private boolean superseded;

	private boolean staging;

	VersionFetch(Sources sources, String model, long version, Manifest manifest, Peer self, BulkWindow window,
			boolean stagesAtOnce) {
		this.sources = sources;
		this.model = model;
		this.version = version;
		this.staging = stagesAtOnce;
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

	long tookMs() {
		return (this.completeNanos - this.startNanos) / MILLISECOND;
	}

	int fromOrigin() {
		return this.fromOrigin;
	}

	int corrupt() {
		return this.corrupt;
	}

	/**
	 * Tells whether all chunks are held and staged.
	 * @return whether the engine can load the version
	 */
	boolean staged() {
		return this.staged.size() == this.chunks.manifest().chunkCount();
	}

	/**
	 * Returns for how long the version is being fetched.
	 * @return time in ms
	 */
	long elapsedMs() {
		return (System.nanoTime() - this.startNanos) / MILLISECOND;
	}

	/**
	 * Lets the chunks replace those of the version before in the engine's staging area.
	 */
	void startStaging() {
		this.staging = true;
		stageHeld();
	}

	/**
	 * Starts no more fetches, because a newer version is brought instead.
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
	 * Marks a chunk to be staged again, after the engine lost or spoilt it.
	 * @param index number of the chunk
	 */
	void restage(int index) {
		this.staged.remove(index);
	}

	/**
	 * Takes a chunk found in the engine's staging area.
	 * @param index number of the chunk
	 * @param bytes its bytes
	 */
	void found(int index, byte[] bytes) {
		if (this.chunks.put(index, bytes) instanceof StoreResult.Stored) {
			this.plan.held(index);
			this.staged.add(index);
			this.sources.stored(this, index);
		}
	}

	/**
	 * Starts the fetches that are due.
	 * @param members all loaders of the service
	 * @param holders those whose engine runs the version
	 */
	void step(List<Peer> members, List<Peer> holders) {
		if (this.cancelled) {
			return;
		}
		if (this.chunks.complete()) {
			stageHeld();
			return;
		}
		if (this.superseded) {
			return;
		}
		long now = System.nanoTime();
		this.plan.members(members, holders);
		start(now);
	}

	/**
	 * Takes over the chunks that do not differ from another version.
	 * @param other chunks of the other version
	 */
	void adoptFrom(ChunkSet other) {
		this.chunks.copyMatchingChunks(other);
		for (int index = 0; index < this.chunks.manifest().chunkCount(); index++) {
			if (this.chunks.holds(index)) {
				this.plan.held(index);
			}
		}
	}

	/**
	 * Returns what another loader is told that asks for chunks that are not held.
	 * @return whether this loader can expect to get them
	 */
	FetchFailure missing() {
		return this.plan.missingChunkReason();
	}

	private void start(long now) {
		for (FetchRequest step : this.plan.nextRequests(this.sources.linkDelayMs(), now)) {
			int index = step.chunks().get(0);
			if (step.source().isEmpty()) {
				this.fromOrigin++;
				this.sources.origin(this.model, this.version, index)
					.thenAccept((bytes) -> arrived(step,
							new PeerAnswer(bytes.orElse(new byte[0]), FetchFailure.UNREACHABLE, 0)));
			}
			else if (step.transfer()) {
				this.sources.chunk(step.source().get().instance(), this.model, this.version, index)
					.thenAccept((answer) -> arrived(step, answer));
			}
			else {
				this.sources.held(step.source().get().instance(), this.model, this.version, step.chunks())
					.thenAccept((offer) -> offered(step, offer));
			}
		}
	}

	private void offered(FetchRequest step, Offer offer) {
		long now = System.nanoTime();
		List<Integer> asked = offer.held().stream().filter(step.chunks()::contains).toList();
		if (asked.isEmpty()) {
			// The next step follows with the next tick, so that a source that fails at
			// once is not asked as fast as it fails.
			this.plan.recordFailure(step, offer.failure(), now);
			return;
		}
		this.plan.recordOffer(step, asked);
		startMore(now);
	}

	private void startMore(long now) {
		if (!this.superseded && !this.cancelled) {
			start(now);
		}
	}

	private void arrived(FetchRequest step, PeerAnswer answer) {
		long now = System.nanoTime();
		int index = step.chunks().get(0);
		if (answer.bytes().length == 0) {
			this.plan.recordFailure(step, answer.failure(), now);
		}
		else if (this.cancelled) {
			this.plan.recordTransfer(step, answer.transferMs(), this.sources.linkDelayMs(), now);
		}
		else if (this.chunks.put(index, answer.bytes()) instanceof StoreResult.Corrupt) {
			this.corrupt++;
			this.plan.recordCorruption(step, answer.transferMs(), this.sources.linkDelayMs(), now);
		}
		else {
			this.plan.recordTransfer(step, answer.transferMs(), this.sources.linkDelayMs(), now);
			this.completeNanos = now;
			stage(index);
			this.sources.stored(this, index);
			startMore(now);
		}
	}

	private void stageHeld() {
		for (int index = 0; index < this.chunks.manifest().chunkCount(); index++) {
			if (this.chunks.holds(index) && !this.staged.contains(index)) {
				stage(index);
			}
		}
	}

	private void stage(int index) {
		if (this.cancelled || !this.staging || !this.staged.add(index)) {
			return;
		}
		this.sources.stage(this.model, index, this.chunks.chunk(index)).thenAccept((done) -> {
			if (!done) {
				this.staged.remove(index);
			}
		});
	}

	/**
	 * Where chunks come from and go to.
	 */
	interface Sources {

		/**
		 * Reads a chunk from the origin.
		 * @param model the model
		 * @param version the version
		 * @param index number of the chunk
		 * @return the bytes, or nothing
		 */
		CompletableFuture<Optional<byte[]>> origin(String model, long version, int index);

		/**
		 * Asks another loader which of some chunks it holds. It answers when it has one.
		 * @param host address of the loader
		 * @param model the model
		 * @param version the version
		 * @param indices numbers of the chunks
		 * @return the answer
		 */
		CompletableFuture<Offer> held(String host, String model, long version, List<Integer> indices);

		/**
		 * Reads a chunk from another loader.
		 * @param host address of the loader
		 * @param model the model
		 * @param version the version
		 * @param index number of the chunk
		 * @return the answer
		 */
		CompletableFuture<PeerAnswer> chunk(String host, String model, long version, int index);

		/**
		 * Returns for how long bytes wait at the link of this machine.
		 * @return time in ms
		 */
		double linkDelayMs();

		/**
		 * Stages a chunk at the engine.
		 * @param model the model
		 * @param index number of the chunk
		 * @param bytes the chunk
		 * @return whether the engine has it
		 */
		CompletableFuture<Boolean> stage(String model, int index, byte[] bytes);

		/**
		 * A chunk was verified and can be served to others.
		 * @param fetch the version
		 * @param index number of the chunk
		 */
		void stored(VersionFetch fetch, int index);

	}

	/**
	 * Answer of another loader to a question.
	 *
	 * @param held numbers of the chunks that it holds, empty if there are none
	 * @param failure why there are none
	 */
	record Offer(List<Integer> held, FetchFailure failure) {
	}

	/**
	 * Answer of another loader or the origin.
	 *
	 * @param bytes the chunk, empty if there is none
	 * @param failure why there is none
	 * @param transferMs time that the chunk was on its way, in ms
	 */
	record PeerAnswer(byte[] bytes, FetchFailure failure, double transferMs) {

		static PeerAnswer missing(FetchFailure failure) {
			return new PeerAnswer(new byte[0], failure, 0);
		}

	}

}
