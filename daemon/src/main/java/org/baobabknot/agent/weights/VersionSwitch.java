package org.baobabknot.agent.weights;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.baobabknot.admission.CloseReason;
import org.baobabknot.agent.AdmissionGate;
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.target.LoadCommand;
import org.baobabknot.target.LoadResult;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetState;
import org.baobabknot.target.TargetStatus;
import org.baobabknot.weights.ChunkSet;

/**
 * Switches the target to a verified version: closes admission, drains, loads the version
 * and reopens admission. Admission stays closed until the target reports the digest of
 * the whole version, so that no request runs on other weights. Runs on one event loop.
 */
final class VersionSwitch {

	/** Size of a part in which weights are sent to the target. */
	private static final int PART_BYTES = 256 * 1024;

	/** Delay before a failed load is retried. */
	private static final long RETRY_DELAY_MS = 500;

	/** Interval between checks of the status after a load. */
	private static final long CONFIRM_INTERVAL_MS = 20;

	/** Time after which an unfinished drain is reported; the agent continues to wait. */
	private static final long LONG_DRAIN_SECONDS = 30;

	private final ProcessContext process;

	private final AdmissionGate gate;

	private final Target target;

	private final Supplier<Optional<TargetStatus>> status;

	private final Runnable requestPoll;

	private final EventLoop eventLoop;

	private final Runnable onChange;

	private volatile boolean busy;

	private boolean closed;

	VersionSwitch(ProcessContext process, AdmissionGate gate, Target target, Supplier<Optional<TargetStatus>> status,
			Runnable requestPoll, EventLoop eventLoop, Runnable onChange) {
		this.process = process;
		this.gate = gate;
		this.target = target;
		this.status = status;
		this.requestPoll = requestPoll;
		this.eventLoop = eventLoop;
		this.onChange = onChange;
	}

	boolean isBusy() {
		return this.busy;
	}

	Optional<TargetStatus> status() {
		return this.status.get();
	}

	boolean isTargetEmpty() {
		return status().map((known) -> known.state() == TargetState.EMPTY).orElse(false);
	}

	/**
	 * Returns whether the target serves a version.
	 * @param wholeDigest digest of the whole version
	 * @return whether the target serves requests and reports the digest
	 */
	boolean isTargetRunning(String wholeDigest) {
		return status().map((known) -> isServing(known) && known.digest().equals(wholeDigest)).orElse(false);
	}

	private static boolean isServing(TargetStatus known) {
		return known.state() == TargetState.COLD || known.state() == TargetState.READY;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Closes admission, waits for running requests to end and loads a version.
	 * @param chunks the verified version
	 */
	void start(ChunkSet chunks) {
		this.busy = true;
		String version = chunks.manifest().version();
		this.process.events().record("switch-started", version);
		this.gate.close(CloseReason.SWITCHING);
		CompletableFuture<Void> drained = this.gate.whenDrained();
		this.eventLoop.schedule(() -> {
			if (!drained.isDone()) {
				this.process.events().record("drain-long", this.gate.running() + " requests still run");
			}
		}, LONG_DRAIN_SECONDS, TimeUnit.SECONDS);
		drained.whenComplete((nothing, error) -> this.eventLoop.execute(() -> load(chunks)));
	}

	private void load(ChunkSet chunks) {
		if (this.closed) {
			return;
		}
		LoadCommand command = new LoadCommand(chunks.manifest().version(), chunks.manifest().wholeDigest(),
				this.process.configuration().revision(), chunks.manifest().size());
		this.target.load(command, (index) -> partOf(chunks, index))
			.whenComplete((result, error) -> this.eventLoop.execute(() -> handleLoadResult(chunks, result)));
	}

	// Returns a part of the weights; a part never spans two chunks. Empty after the last
	// chunk.
	static byte[] partOf(ChunkSet chunks, int index) {
		int perChunk = Math.max(1, (chunks.manifest().chunkSize() + PART_BYTES - 1) / PART_BYTES);
		int chunk = index / perChunk;
		int from = (index % perChunk) * PART_BYTES;
		if (chunk >= chunks.manifest().chunkCount()) {
			return new byte[0];
		}
		byte[] bytes = chunks.chunk(chunk);
		return Arrays.copyOfRange(bytes, Math.min(from, bytes.length), Math.min(bytes.length, from + PART_BYTES));
	}

	private void handleLoadResult(ChunkSet chunks, LoadResult result) {
		String expected = chunks.manifest().wholeDigest();
		if (result instanceof LoadResult.Loaded loaded && loaded.status().digest().equals(expected)) {
			this.requestPoll.run();
			confirm(chunks, RETRY_DELAY_MS / CONFIRM_INTERVAL_MS);
			return;
		}
		this.process.events().record("load-failed", String.valueOf(result));
		retry(chunks);
	}

	private void retry(ChunkSet chunks) {
		this.requestPoll.run();
		this.eventLoop.schedule(() -> {
			if (isTargetRunning(chunks.manifest().wholeDigest())) {
				finish(chunks);
			}
			else if (!this.closed) {
				load(chunks);
			}
		}, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	// The status that admission uses must be that of the loaded target before requests
	// run. The checks are frequent because the agents of a group switch one after
	// another, so each delay adds to the rollout.
	private void confirm(ChunkSet chunks, long attempts) {
		if (isTargetRunning(chunks.manifest().wholeDigest())) {
			finish(chunks);
		}
		else if (attempts == 0) {
			retry(chunks);
		}
		else {
			this.eventLoop.schedule(() -> confirm(chunks, attempts - 1), CONFIRM_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void finish(ChunkSet chunks) {
		this.busy = false;
		this.process.events().record("switch-done", chunks.manifest().version());
		this.gate.reopen(CloseReason.SWITCHING);
		this.onChange.run();
	}

}
