package org.baobabknot.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.baobabknot.schedule.SimulatedEventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Simulates an agent and its target. Uses {@link RequestRecord} and {@link ClaimRegistry}
 * in the same order of steps as the agent of the daemon.
 */
final class SimulatedAgent {

	private static final ClaimSettings CLAIM_SETTINGS = new ClaimSettings(2, 4096, 600, 30);

	private static final RecordSettings RECORD_SETTINGS = new RecordSettings(100, Long.MAX_VALUE, 100, 1000);

	final String name;

	private final SimulatedEventLoop loop;

	private final SimulatedStore store;

	private final Map<String, SimulatedAgent> agentsByName;

	private final List<Hash128> ordersRun;

	private final Map<Hash128, Consumer<Response>> openRequests = new HashMap<>();

	private final Map<Hash128, Hash128> orderByRequest = new HashMap<>();

	long incarnation;

	private boolean running;

	private RequestRecord record = new RequestRecord(RECORD_SETTINGS, 0);

	private ClaimRegistry claims = new ClaimRegistry("none", 0, CLAIM_SETTINGS);

	SimulatedAgent(String name, SimulatedEventLoop loop, SimulatedStore store, Map<String, SimulatedAgent> agentsByName,
			List<Hash128> ordersRun) {
		this.name = name;
		this.loop = loop;
		this.store = store;
		this.agentsByName = agentsByName;
		this.ordersRun = ordersRun;
		restart();
	}

	void restart() {
		this.incarnation++;
		this.running = true;
		this.record = new RequestRecord(RECORD_SETTINGS, this.incarnation);
		this.claims = new ClaimRegistry(this.name, this.incarnation, CLAIM_SETTINGS);
		this.openRequests.clear();
		this.orderByRequest.clear();
	}

	// A crash loses the state of the agent. Requests that were handed to the target still
	// run.
	void crash() {
		this.running = false;
	}

	private ClaimTime time() {
		return new ClaimTime(this.loop.now(), this.loop.now() / 1000);
	}

	void start(Hash128 id, @Nullable Hash128 key, Hash128 order, long expectedIncarnation,
			Consumer<Response> responseConsumer) {
		if (!this.running) {
			return;
		}
		if (expectedIncarnation != this.incarnation) {
			responseConsumer.accept(Response.REFUSED);
			return;
		}
		RegistrationResult registration = this.record.register(id, key, order, this.loop.now());
		if (registration instanceof RegistrationResult.Ran) {
			responseConsumer.accept(Response.RAN);
		}
		else if (registration instanceof RegistrationResult.OutcomeUnknown) {
			responseConsumer.accept(Response.UNKNOWN);
		}
		else if (!(registration instanceof RegistrationResult.Registered)) {
			responseConsumer
				.accept((registration instanceof RegistrationResult.Running) ? Response.KEY_RUNNING : Response.REFUSED);
		}
		else {
			this.openRequests.put(id, responseConsumer);
			this.orderByRequest.put(id, order);
			if (key != null) {
				execute(this.claims.requestClaim(id, key, time()));
			}
			else {
				handOverLater(id);
			}
			if (this.loop.randomBoolean(0.1)) {
				refuseLater(id);
			}
		}
	}

	// Simulates a deadline that passes before the request is handed over.
	private void refuseLater(Hash128 id) {
		long startIncarnation = this.incarnation;
		this.loop.schedule(1, 80, () -> {
			if (startIncarnation == this.incarnation && this.running && this.openRequests.containsKey(id)) {
				refuse(id);
			}
		});
	}

	private void refuse(Hash128 id) {
		this.claims.cancel(id);
		this.record.removeRefused(id);
		respond(id, Response.REFUSED);
	}

	private void respond(Hash128 id, Response response) {
		Consumer<Response> consumer = this.openRequests.remove(id);
		if (consumer != null) {
			consumer.accept(response);
		}
	}

	private void handOverLater(Hash128 id) {
		long startIncarnation = this.incarnation;
		this.loop.schedule(0, 20, () -> {
			if (startIncarnation != this.incarnation || !this.running || !this.openRequests.containsKey(id)) {
				return;
			}
			if (!this.record.tryHandOver(id)) {
				respond(id, Response.REFUSED);
				return;
			}
			Consumer<Response> consumer = this.openRequests.remove(id);
			this.loop.schedule(0, 10, () -> this.ordersRun.add(this.orderByRequest.getOrDefault(id, id)));
			this.loop.schedule(10, 50, () -> {
				if (startIncarnation == this.incarnation && this.running) {
					boolean outcomeKnown = !this.loop.randomBoolean(0.1);
					if (outcomeKnown) {
						this.record.storeResponse(id, new StoredResponse(200, List.of(), "", "", new byte[0]),
								this.loop.now());
					}
					else {
						this.record.markOutcomeUnknown(id, this.loop.now());
					}
					if (consumer != null) {
						consumer.accept(outcomeKnown ? Response.RAN : Response.UNKNOWN);
					}
				}
			});
		});
	}

	@Nullable Resolution resolve(Hash128 id, long expectedIncarnation) {
		return this.running ? this.record.resolve(id, expectedIncarnation, this.loop.now()) : null;
	}

	private Resolution resolveKey(Hash128 key, long expectedIncarnation) {
		return this.running ? this.record.resolveKey(key, expectedIncarnation, this.loop.now())
				: new Resolution.Unknown();
	}

	private void execute(List<ClaimCommand> commands) {
		long startIncarnation = this.incarnation;
		for (ClaimCommand command : new ArrayList<>(commands)) {
			if (command instanceof ClaimCommand.ReadBucket read) {
				this.store.read(read.bucket(), (result) -> ifSameIncarnation(startIncarnation,
						() -> execute(this.claims.onReadResult(read, result, time()))));
			}
			else if (command instanceof ClaimCommand.WriteBucket write) {
				this.store.write(write.bucket(), write.expectedVersion(), write.value(),
						(result) -> ifSameIncarnation(startIncarnation,
								() -> execute(this.claims.onWriteResult(write, result, time()))));
			}
			else if (command instanceof ClaimCommand.ScheduleWakeUp wake) {
				long delay = Math.max(0, wake.atNanos() - this.loop.now());
				this.loop.schedule(delay, delay, () -> ifSameIncarnation(startIncarnation,
						() -> execute(this.claims.wakeUp(wake.bucket(), time()))));
			}
			else if (command instanceof ClaimCommand.ResolveClaim resolve) {
				resolveClaim(resolve, startIncarnation);
			}
			else {
				completeClaim(command);
			}
		}
	}

	// The resolve message and its response are delayed, and may be lost or duplicated.
	private void resolveClaim(ClaimCommand.ResolveClaim command, long startIncarnation) {
		Claim claim = command.claim();
		SimulatedAgent other = this.agentsByName.get(claim.instance());
		for (int copy = 0; copy < (this.loop.randomBoolean(0.1) ? 2 : 1); copy++) {
			this.loop.schedule(1, 40, () -> {
				boolean lost = other == null || this.loop.randomBoolean(0.1);
				Resolution resolution = lost ? new Resolution.Unknown()
						: other.resolveKey(claim.key(), claim.incarnation());
				this.loop.schedule(1, 40, () -> ifSameIncarnation(startIncarnation,
						() -> execute(this.claims.onResolution(command, resolution, time()))));
			});
		}
	}

	private void ifSameIncarnation(long startIncarnation, Runnable action) {
		if (this.running && startIncarnation == this.incarnation) {
			action.run();
		}
	}

	private void completeClaim(ClaimCommand command) {
		if (command instanceof ClaimCommand.Granted granted) {
			this.record.markClaimed(granted.requestId());
			handOverLater(granted.requestId());
		}
		else if (command instanceof ClaimCommand.Denied denied) {
			refuse(denied.requestId());
		}
		else if (command instanceof ClaimCommand.ClaimedElsewhere elsewhere) {
			this.record.removeRefused(elsewhere.requestId());
			Resolution resolution = elsewhere.resolution();
			Response response = (resolution instanceof Resolution.Ran) ? Response.RAN
					: (resolution instanceof Resolution.Running) ? Response.KEY_RUNNING : Response.UNKNOWN;
			respond(elsewhere.requestId(), response);
		}
	}

	/**
	 * Responses of an agent to a request.
	 */
	enum Response {

		RAN, REFUSED, KEY_RUNNING, UNKNOWN

	}

}
