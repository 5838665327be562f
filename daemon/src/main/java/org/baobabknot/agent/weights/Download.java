package org.baobabknot.agent.weights;

import java.util.BitSet;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.distribution.DistributionPlanner;
import org.baobabknot.distribution.DistributionSettings;
import org.baobabknot.distribution.FetchCommand;
import org.baobabknot.distribution.FetchFailure;
import org.baobabknot.distribution.Peer;
import org.baobabknot.membership.Member;
import org.baobabknot.origin.ChunkResult;
import org.baobabknot.origin.WeightOrigin;
import org.baobabknot.protocol.Connection;
import org.baobabknot.weights.ChunkSet;
import org.baobabknot.weights.Manifest;
import org.baobabknot.weights.StoreResult;

/**
 * Fetches the chunks of one version from peers and the origin. A fetch that ends after
 * the version was replaced is stored in the set of its own version, so that chunks of two
 * versions never mix.
 */
final class Download {

	/** Link rate if the settings contain none: 1 Gbit/s. */
	private static final long DEFAULT_LINK_BYTES_PER_SECOND = 125_000_000;

	private final ProcessContext process;

	private final String digest;

	private final ChunkSet chunks;

	private final DistributionPlanner planner;

	private final BulkConnections connections;

	private final WeightOrigin origin;

	private final Executor verifier;

	private final Runnable onChange;

	private volatile boolean abandoned;

	Download(ProcessContext process, String digest, ChunkSet chunks, BulkConnections connections, WeightOrigin origin,
			Executor verifier, Runnable onChange) {
		this.process = process;
		this.digest = digest;
		this.chunks = chunks;
		this.connections = connections;
		this.origin = origin;
		this.verifier = verifier;
		this.onChange = onChange;
		long rate = process.settings().links().machineBytesPerSecond();
		DistributionSettings settings = DistributionSettings.forLinkRate(chunks.manifest().chunkSize(),
				(rate > 0) ? rate : DEFAULT_LINK_BYTES_PER_SECOND);
		Peer self = new Peer(process.settings().instance(), process.settings().failureDomain(),
				process.settings().region());
		this.planner = new DistributionPlanner(chunks.manifest(), self, settings, RandomGenerator.getDefault(),
				process.nowNanos());
	}

	String digest() {
		return this.digest;
	}

	ChunkSet chunks() {
		return this.chunks;
	}

	DistributionPlanner planner() {
		return this.planner;
	}

	void abandon() {
		this.abandoned = true;
	}

	void updateAgents(Collection<Member> live) {
		this.planner.updateAgents(live.stream()
			.map((member) -> new Peer(member.instance(), member.failureDomain(), member.region()))
			.toList(), this.process.nowNanos());
	}

	/**
	 * Starts the fetches that the planner schedules now.
	 */
	void startDueFetches() {
		BitSet held = this.chunks.heldChunks();
		if (this.abandoned || held.cardinality() == this.chunks.manifest().chunkCount()) {
			return;
		}
		for (FetchCommand command : this.planner.plan(held, this.process.nowNanos())) {
			if (command instanceof FetchCommand.FetchFromOrigin fetch) {
				fetchFromOrigin(fetch.index());
			}
			else if (command instanceof FetchCommand.FetchFromPeer fetch) {
				fetchFromPeer(fetch.index(), fetch.instance());
			}
		}
	}

	private void fetchFromOrigin(int index) {
		Manifest manifest = this.chunks.manifest();
		this.origin.chunk(manifest.service(), manifest.version(), index).whenComplete((result, error) -> {
			if (result instanceof ChunkResult.Fetched fetched) {
				handleFetchResult(index, new FetchResult.Completed(fetched.bytes()), "origin");
			}
			else {
				boolean absent = result instanceof ChunkResult.Absent;
				handleFetchResult(index,
						new FetchResult.Failed(absent ? FetchFailure.NOT_HELD : FetchFailure.UNREACHABLE), "origin");
			}
		});
	}

	private void fetchFromPeer(int index, String instance) {
		int length = this.chunks.manifest().chunkLength(index);
		this.connections.acquire(instance).thenCompose((connection) -> {
			if (connection.isEmpty()) {
				return CompletableFuture.completedFuture(new FetchResult.Failed(FetchFailure.UNREACHABLE));
			}
			Connection open = connection.get();
			return PeerTransfer.fetchChunk(open, this.digest, index, length).thenApply((fetched) -> {
				this.connections.release(instance, open);
				return fetched;
			});
		})
			.whenComplete((fetched, error) -> handleFetchResult(index,
					(fetched != null) ? fetched : new FetchResult.Failed(FetchFailure.UNREACHABLE), instance));
	}

	private void handleFetchResult(int index, FetchResult fetched, String source) {
		if (fetched instanceof FetchResult.Completed bytes) {
			this.verifier.execute(() -> verifyAndStore(index, bytes.bytes(), source));
		}
		else if (fetched instanceof FetchResult.Failed failed) {
			this.planner.recordFailure(index, failed.failure(), this.process.nowNanos());
			this.onChange.run();
		}
	}

	private void verifyAndStore(int index, byte[] bytes, String source) {
		if (this.chunks.put(index, bytes) instanceof StoreResult.Corrupt corrupt) {
			this.process.events()
				.record("chunk-corrupt", "chunk %d from %s: %s".formatted(index, source, corrupt.detail()));
			this.planner.recordFailure(index, FetchFailure.CORRUPT, this.process.nowNanos());
		}
		else {
			this.planner.recordStored(index, this.process.nowNanos());
		}
		this.onChange.run();
	}

}
