package org.baobabknot.record;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.baobabknot.schedule.EventLoop;

/**
 * Store whose requests and answers are delayed and lost, with outages. A write whose
 * caller gave up may still take effect later.
 */
final class SimulatedStore {

	private static final long TIMEOUT = 60;

	private final EventLoop loop;

	private final boolean compares;

	private final Map<Integer, StoreRead.Value> values = new HashMap<>();

	private long nextVersion = 1;

	private boolean down;

	SimulatedStore(EventLoop loop, boolean compares) {
		this.loop = loop;
		this.compares = compares;
	}

	void down(boolean isDown) {
		this.down = isDown;
	}

	void read(int bucket, Consumer<StoreRead> answer) {
		once(answer, new StoreRead.Failed(), (reply) -> {
			StoreRead.Value value = this.values.get(bucket);
			reply.accept((value != null) ? value : new StoreRead.Absent());
		}, new StoreRead.Failed());
	}

	void write(int bucket, long expected, byte[] bytes, Consumer<StoreWrite> answer) {
		once(answer, new StoreWrite.Unsure(), (reply) -> {
			StoreRead.Value value = this.values.get(bucket);
			long version = (value != null) ? value.version() : 0;
			if (this.compares && version != expected) {
				reply.accept(new StoreWrite.Conflict());
				return;
			}
			long written = this.nextVersion++;
			this.values.put(bucket, new StoreRead.Value(written, bytes));
			reply.accept(new StoreWrite.Written(written));
		}, new StoreWrite.NotWritten());
	}

	// The caller gets exactly one result: the answer, or the one for a timeout.
	private <R> void once(Consumer<R> answer, R onTimeout, Consumer<Consumer<R>> operation, R refused) {
		boolean[] answered = new boolean[1];
		Consumer<R> first = (result) -> {
			if (!answered[0]) {
				answered[0] = true;
				answer.accept(result);
			}
		};
		this.loop.after(TIMEOUT, TIMEOUT, () -> first.accept(onTimeout));
		if (this.loop.chance(0.1)) {
			return;
		}
		this.loop.after(1, this.loop.chance(0.1) ? 200 : 15, () -> {
			if (this.down) {
				this.loop.after(1, 10, () -> first.accept(refused));
				return;
			}
			operation.accept((result) -> {
				if (!this.loop.chance(0.15)) {
					this.loop.after(1, 15, () -> first.accept(result));
				}
			});
		});
	}

}
