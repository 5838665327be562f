package org.baobabknot.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.baobabknot.schedule.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Agent with a target of its own: the order of steps that the agent of the daemon takes,
 * around a {@link RequestRecord} and a {@link ClaimBook}.
 */
final class SimulatedAgent {

	private static final ClaimSettings CLAIMS = new ClaimSettings(2, 4096, 600, 30);

	private static final RecordSettings RECORD = new RecordSettings(100, Long.MAX_VALUE, 100, 1000);

	final String name;

	private final EventLoop loop;

	private final SimulatedStore store;

	private final Map<String, SimulatedAgent> fleet;

	private final List<Hash128> ran;

	private final Map<Hash128, Consumer<Answer>> open = new HashMap<>();

	private final Map<Hash128, Hash128> orders = new HashMap<>();

	long incarnation;

	private boolean up;

	private RequestRecord record = new RequestRecord(RECORD, 0);

	private ClaimBook book = new ClaimBook("none", 0, CLAIMS);

	SimulatedAgent(String name, EventLoop loop, SimulatedStore store, Map<String, SimulatedAgent> fleet,
			List<Hash128> ran) {
		this.name = name;
		this.loop = loop;
		this.store = store;
		this.fleet = fleet;
		this.ran = ran;
		restart();
	}

	void restart() {
		this.incarnation++;
		this.up = true;
		this.record = new RequestRecord(RECORD, this.incarnation);
		this.book = new ClaimBook(this.name, this.incarnation, CLAIMS);
		this.open.clear();
		this.orders.clear();
	}

	// A crash loses the state of the agent; what it handed to the target still runs.
	void crash() {
		this.up = false;
	}

	private ClaimTime time() {
		return new ClaimTime(this.loop.now(), this.loop.now() / 1000);
	}

	void start(Hash128 id, @Nullable Hash128 key, Hash128 order, long expectedIncarnation, Consumer<Answer> answer) {
		if (!this.up) {
			return;
		}
		if (expectedIncarnation != this.incarnation) {
			answer.accept(Answer.REFUSED);
			return;
		}
		Begin begin = this.record.begin(id, key, order, this.loop.now());
		if (begin instanceof Begin.Ran) {
			answer.accept(Answer.RAN);
		}
		else if (begin instanceof Begin.OutcomeUnknown) {
			answer.accept(Answer.UNKNOWN);
		}
		else if (!(begin instanceof Begin.Fresh)) {
			answer.accept((begin instanceof Begin.Running) ? Answer.KEY_RUNNING : Answer.REFUSED);
		}
		else {
			this.open.put(id, answer);
			this.orders.put(id, order);
			if (key != null) {
				carryOut(this.book.claim(id, key, time()));
			}
			else {
				handOverLater(id);
			}
			if (this.loop.chance(0.1)) {
				refuseLater(id);
			}
		}
	}

	// The deadline passes while the request waits.
	private void refuseLater(Hash128 id) {
		long began = this.incarnation;
		this.loop.after(1, 80, () -> {
			if (began == this.incarnation && this.up && this.open.containsKey(id)) {
				refuse(id);
			}
		});
	}

	private void refuse(Hash128 id) {
		this.book.withdraw(id);
		this.record.withdrawn(id);
		answer(id, Answer.REFUSED);
	}

	private void answer(Hash128 id, Answer answer) {
		Consumer<Answer> consumer = this.open.remove(id);
		if (consumer != null) {
			consumer.accept(answer);
		}
	}

	private void handOverLater(Hash128 id) {
		long began = this.incarnation;
		this.loop.after(0, 20, () -> {
			if (began != this.incarnation || !this.up || !this.open.containsKey(id)) {
				return;
			}
			if (!this.record.tryHandOver(id)) {
				answer(id, Answer.REFUSED);
				return;
			}
			Consumer<Answer> consumer = this.open.remove(id);
			this.loop.after(0, 10, () -> this.ran.add(this.orders.getOrDefault(id, id)));
			this.loop.after(10, 50, () -> {
				if (began == this.incarnation && this.up) {
					boolean known = !this.loop.chance(0.1);
					if (known) {
						this.record.finished(id, new StoredResult(200, List.of(), "", "", new byte[0]),
								this.loop.now());
					}
					else {
						this.record.outcomeUnknown(id, this.loop.now());
					}
					if (consumer != null) {
						consumer.accept(known ? Answer.RAN : Answer.UNKNOWN);
					}
				}
			});
		});
	}

	@Nullable Resolution resolve(Hash128 id, long asked) {
		return this.up ? this.record.resolve(id, asked, this.loop.now()) : null;
	}

	private Resolution resolveKey(Hash128 key, long asked) {
		return this.up ? this.record.resolveKey(key, asked, this.loop.now()) : new Resolution.Unknown();
	}

	private void carryOut(List<ClaimCommand> commands) {
		long began = this.incarnation;
		for (ClaimCommand command : new ArrayList<>(commands)) {
			if (command instanceof ClaimCommand.ReadBucket read) {
				this.store.read(read.bucket(),
						(result) -> ifAlive(began, () -> carryOut(this.book.readDone(read, result, time()))));
			}
			else if (command instanceof ClaimCommand.WriteBucket write) {
				this.store.write(write.bucket(), write.expectedVersion(), write.value(),
						(result) -> ifAlive(began, () -> carryOut(this.book.writeDone(write, result, time()))));
			}
			else if (command instanceof ClaimCommand.WakeAt wake) {
				long delay = Math.max(0, wake.atNanos() - this.loop.now());
				this.loop.after(delay, delay,
						() -> ifAlive(began, () -> carryOut(this.book.wake(wake.bucket(), time()))));
			}
			else if (command instanceof ClaimCommand.ResolveAt ask) {
				resolveAt(ask, began);
			}
			else {
				end(command);
			}
		}
	}

	// The question and its answer are delayed, and either may be lost or duplicated.
	private void resolveAt(ClaimCommand.ResolveAt ask, long began) {
		Claim claim = ask.claim();
		SimulatedAgent other = this.fleet.get(claim.instance());
		for (int copy = 0; copy < (this.loop.chance(0.1) ? 2 : 1); copy++) {
			this.loop.after(1, 40, () -> {
				boolean lost = other == null || this.loop.chance(0.1);
				Resolution said = lost ? new Resolution.Unknown() : other.resolveKey(claim.key(), claim.incarnation());
				this.loop.after(1, 40, () -> ifAlive(began, () -> carryOut(this.book.resolved(ask, said, time()))));
			});
		}
	}

	private void ifAlive(long began, Runnable action) {
		if (this.up && began == this.incarnation) {
			action.run();
		}
	}

	private void end(ClaimCommand command) {
		if (command instanceof ClaimCommand.Granted granted) {
			this.record.claimed(granted.requestId());
			handOverLater(granted.requestId());
		}
		else if (command instanceof ClaimCommand.Denied denied) {
			refuse(denied.requestId());
		}
		else if (command instanceof ClaimCommand.ClaimedElsewhere elsewhere) {
			this.record.withdrawn(elsewhere.requestId());
			Resolution resolution = elsewhere.resolution();
			Answer answer = (resolution instanceof Resolution.Ran) ? Answer.RAN
					: (resolution instanceof Resolution.Running) ? Answer.KEY_RUNNING : Answer.UNKNOWN;
			answer(elsewhere.requestId(), answer);
		}
	}

	/**
	 * Answers of an agent to a request.
	 */
	enum Answer {

		RAN, REFUSED, KEY_RUNNING, UNKNOWN

	}

}
