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
 * Fetches one version. A fetch that ends after the version was replaced is stored in the
 * set of its own version, so chunks of two versions never mix.
 */
final class Download {

	/** Rate that is assumed when the settings name none: 1 Gbit/s. */
	private static final long ASSUMED_BYTES_PER_SECOND = 125_000_000;

	private final ProcessContext node;

	private final String digest;

	private final ChunkSet chunks;

	private final DistributionPlanner planner;

	private final BulkConnections connections;

	private final WeightOrigin origin;

	private final Executor verifier;

	private final Runnable changed;

	private volatile boolean abandoned;

	Download(ProcessContext node, String digest, ChunkSet chunks, BulkConnections connections, WeightOrigin origin,
			Executor verifier, Runnable changed) {
		this.node = node;
		this.digest = digest;
		this.chunks = chunks;
		this.connections = connections;
		this.origin = origin;
		this.verifier = verifier;
		this.changed = changed;
		long rate = node.settings().links().machineBytesPerSecond();
		DistributionSettings settings = DistributionSettings.forLinkRate(chunks.manifest().chunkSize(),
				(rate > 0) ? rate : ASSUMED_BYTES_PER_SECOND);
		Peer self = new Peer(node.settings().instance(), node.settings().failureDomain(), node.settings().region());
		this.planner = new DistributionPlanner(chunks.manifest(), self, settings, RandomGenerator.getDefault(),
				node.nowNanos());
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

	void agents(Collection<Member> live) {
		this.planner.updateAgents(live.stream()
			.map((member) -> new Peer(member.instance(), member.failureDomain(), member.region()))
			.toList(), this.node.nowNanos());
	}

	/**
	 * Starts the fetches that are due.
	 */
	void tick() {
		BitSet held = this.chunks.heldChunks();
		if (this.abandoned || held.cardinality() == this.chunks.manifest().chunkCount()) {
			return;
		}
		for (FetchCommand command : this.planner.plan(held, this.node.nowNanos())) {
			if (command instanceof FetchCommand.FetchFromOrigin fetch) {
				fromOrigin(fetch.index());
			}
			else if (command instanceof FetchCommand.FetchFromPeer fetch) {
				fromPeer(fetch.index(), fetch.instance());
			}
		}
	}

	private void fromOrigin(int index) {
		Manifest manifest = this.chunks.manifest();
		this.origin.chunk(manifest.service(), manifest.version(), index).whenComplete((result, error) -> {
			if (result instanceof ChunkResult.Fetched fetched) {
				store(index, new Fetched.Bytes(fetched.bytes()), "origin");
			}
			else {
				boolean absent = result instanceof ChunkResult.Absent;
				store(index, new Fetched.NotFetched(absent ? FetchFailure.NOT_HELD : FetchFailure.UNREACHABLE),
						"origin");
			}
		});
	}

	private void fromPeer(int index, String instance) {
		int length = this.chunks.manifest().chunkLength(index);
		this.connections.take(instance).thenCompose((connection) -> {
			if (connection.isEmpty()) {
				return CompletableFuture.completedFuture(new Fetched.NotFetched(FetchFailure.UNREACHABLE));
			}
			Connection open = connection.get();
			return PeerTransfer.chunk(open, this.digest, index, length).thenApply((fetched) -> {
				this.connections.release(instance, open);
				return fetched;
			});
		})
			.whenComplete((fetched, error) -> store(index,
					(fetched != null) ? fetched : new Fetched.NotFetched(FetchFailure.UNREACHABLE), instance));
	}

	private void store(int index, Fetched fetched, String source) {
		if (fetched instanceof Fetched.Bytes bytes) {
			this.verifier.execute(() -> verify(index, bytes.bytes(), source));
		}
		else if (fetched instanceof Fetched.NotFetched failed) {
			this.planner.recordFailure(index, failed.failure(), this.node.nowNanos());
			this.changed.run();
		}
	}

	private void verify(int index, byte[] bytes, String source) {
		if (this.chunks.put(index, bytes) instanceof StoreResult.Corrupt corrupt) {
			this.node.events()
				.record("chunk-corrupt", "chunk %d from %s: %s".formatted(index, source, corrupt.detail()));
			this.planner.recordFailure(index, FetchFailure.CORRUPT, this.node.nowNanos());
		}
		else {
			this.planner.recordStored(index, this.node.nowNanos());
		}
		this.changed.run();
	}

}
