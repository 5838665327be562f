package org.baobabknot.agent;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.record.BucketReadResult;
import org.baobabknot.record.BucketWriteResult;
import org.baobabknot.record.Claim;
import org.baobabknot.record.ClaimCommand;
import org.baobabknot.record.ClaimRegistry;
import org.baobabknot.record.ClaimTime;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.Resolution;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Executes the commands of a {@link ClaimRegistry} against the store and the other
 * agents.
 */
final class ClaimExecutor {

	private final ProcessContext process;

	private final String prefix;

	private final ClaimRegistry book;

	private final PeerResolver resolver;

	private final AgentMetrics metrics;

	private final Map<Hash128, ClaimListener> listeners = new ConcurrentHashMap<>();

	ClaimExecutor(ProcessContext process, String service, ClaimRegistry book, PeerResolver questions,
			AgentMetrics metrics) {
		this.process = process;
		this.prefix = "baobabknot/claims/" + service + "/";
		this.book = book;
		this.resolver = questions;
		this.metrics = metrics;
	}

	/**
	 * Requests the claim of an idempotency key.
	 * @param requestId the request
	 * @param key hash of the key
	 * @param listener receives the result, on any thread
	 */
	void claim(Hash128 requestId, Hash128 key, ClaimListener listener) {
		this.listeners.put(requestId, listener);
		execute(this.book.requestClaim(requestId, key, currentTime()));
	}

	/**
	 * Cancels the pending claim of a request. Its listener is not called afterwards.
	 * @param requestId the request
	 */
	void withdraw(Hash128 requestId) {
		this.listeners.remove(requestId);
		this.book.cancel(requestId);
	}

	private ClaimTime currentTime() {
		return new ClaimTime(this.process.nowNanos(), TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()));
	}

	private void execute(List<ClaimCommand> commands) {
		for (ClaimCommand command : commands) {
			if (command instanceof ClaimCommand.ReadBucket read) {
				read(read);
			}
			else if (command instanceof ClaimCommand.WriteBucket write) {
				write(write);
			}
			else if (command instanceof ClaimCommand.ScheduleWakeUp wake) {
				long delay = Math.max(0, wake.atNanos() - this.process.nowNanos());
				this.process.group()
					.next()
					.schedule(() -> execute(this.book.wakeUp(wake.bucket(), currentTime())), delay,
							TimeUnit.NANOSECONDS);
			}
			else if (command instanceof ClaimCommand.ResolveClaim resolve) {
				this.resolver.resolve(resolve.claim())
					.thenAccept((resolution) -> execute(this.book.onResolution(resolve, resolution, currentTime())));
			}
			else {
				notifyListener(command);
			}
		}
	}

	private void read(ClaimCommand.ReadBucket command) {
		this.metrics.recordClaimCall("read");
		this.process.store()
			.read(this.prefix + command.bucket())
			.whenComplete(
					(result, error) -> execute(this.book.onReadResult(command, translate(result), currentTime())));
	}

	private static BucketReadResult translate(@Nullable ReadResult result) {
		if (result instanceof ReadResult.Found found) {
			return new BucketReadResult.Value(found.value().version(), found.value().value());
		}
		return (result instanceof ReadResult.Absent) ? new BucketReadResult.Absent() : new BucketReadResult.Failed();
	}

	private void write(ClaimCommand.WriteBucket command) {
		this.metrics.recordClaimCall("write");
		this.process.store()
			.compareAndSet(this.prefix + command.bucket(), command.expectedVersion(), command.value())
			.whenComplete(
					(result, error) -> execute(this.book.onWriteResult(command, translate(result), currentTime())));
	}

	private static BucketWriteResult translate(@Nullable WriteResult result) {
		if (result instanceof WriteResult.Written written) {
			return new BucketWriteResult.Written(written.version());
		}
		if (result instanceof WriteResult.Conflict) {
			return new BucketWriteResult.Conflict();
		}
		return (result instanceof WriteResult.Failed) ? new BucketWriteResult.NotWritten()
				: new BucketWriteResult.OutcomeUnknown();
	}

	private void notifyListener(ClaimCommand command) {
		if (command instanceof ClaimCommand.Granted granted) {
			ClaimListener listener = this.listeners.remove(granted.requestId());
			if (listener != null) {
				listener.onGranted();
			}
		}
		else if (command instanceof ClaimCommand.Denied denied) {
			ClaimListener listener = this.listeners.remove(denied.requestId());
			if (listener != null) {
				listener.onDenied(denied.reason());
			}
		}
		else if (command instanceof ClaimCommand.ClaimedElsewhere elsewhere) {
			ClaimListener listener = this.listeners.remove(elsewhere.requestId());
			if (listener != null) {
				listener.onClaimedElsewhere(elsewhere.claim(), elsewhere.resolution());
			}
		}
	}

	/**
	 * Receives the result of a claim.
	 */
	interface ClaimListener {

		/**
		 * Called when the claim is in the store.
		 */
		void onGranted();

		/**
		 * Called when the request must be refused as not run.
		 * @param reason reason of the denial
		 */
		void onDenied(ClaimCommand.DenialReason reason);

		/**
		 * Called when another agent has claimed the key.
		 * @param claim claim of the other agent
		 * @param resolution outcome of the other agent's request
		 */
		void onClaimedElsewhere(Claim claim, Resolution resolution);

	}

}
