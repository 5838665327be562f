package org.baobabknot.record;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.baobabknot.schedule.SimulatedEventLoop;

/**
 * Simulates a store with outages, whose requests and responses are delayed or lost. A
 * write that timed out may still take effect later.
 */
final class SimulatedStore {

	private static final long TIMEOUT_MS = 60;

	private final SimulatedEventLoop loop;

	private final boolean comparesVersions;

	private final Map<Integer, BucketReadResult.Value> values = new HashMap<>();

	private long nextVersion = 1;

	private boolean down;

	SimulatedStore(SimulatedEventLoop loop, boolean comparesVersions) {
		this.loop = loop;
		this.comparesVersions = comparesVersions;
	}

	void down(boolean isDown) {
		this.down = isDown;
	}

	void read(int bucket, Consumer<BucketReadResult> resultConsumer) {
		executeWithTimeout(resultConsumer, new BucketReadResult.Failed(), (respond) -> {
			BucketReadResult.Value value = this.values.get(bucket);
			respond.accept((value != null) ? value : new BucketReadResult.Absent());
		}, new BucketReadResult.Failed());
	}

	void write(int bucket, long expected, byte[] bytes, Consumer<BucketWriteResult> resultConsumer) {
		executeWithTimeout(resultConsumer, new BucketWriteResult.OutcomeUnknown(), (respond) -> {
			BucketReadResult.Value value = this.values.get(bucket);
			long version = (value != null) ? value.version() : 0;
			if (this.comparesVersions && version != expected) {
				respond.accept(new BucketWriteResult.Conflict());
				return;
			}
			long newVersion = this.nextVersion++;
			this.values.put(bucket, new BucketReadResult.Value(newVersion, bytes));
			respond.accept(new BucketWriteResult.Written(newVersion));
		}, new BucketWriteResult.NotWritten());
	}

	// Reports exactly one result: the response of the store, or the result for a timeout.
	private <R> void executeWithTimeout(Consumer<R> resultConsumer, R onTimeout, Consumer<Consumer<R>> operation,
			R whenDown) {
		boolean[] completed = new boolean[1];
		Consumer<R> completeOnce = (result) -> {
			if (!completed[0]) {
				completed[0] = true;
				resultConsumer.accept(result);
			}
		};
		this.loop.schedule(TIMEOUT_MS, TIMEOUT_MS, () -> completeOnce.accept(onTimeout));
		if (this.loop.randomBoolean(0.1)) {
			return;
		}
		this.loop.schedule(1, this.loop.randomBoolean(0.1) ? 200 : 15, () -> {
			if (this.down) {
				this.loop.schedule(1, 10, () -> completeOnce.accept(whenDown));
				return;
			}
			operation.accept((result) -> {
				if (!this.loop.randomBoolean(0.15)) {
					this.loop.schedule(1, 15, () -> completeOnce.accept(result));
				}
			});
		});
	}

}
