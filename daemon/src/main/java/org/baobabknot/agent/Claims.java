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
 * Carries out the commands of a {@link ClaimRegistry} against the store and the other
 * agents.
 */
final class Claims {

	private final ProcessContext node;

	private final String prefix;

	private final ClaimRegistry book;

	private final PeerQuestions questions;

	private final AgentMetrics metrics;

	private final Map<Hash128, Claimant> claimants = new ConcurrentHashMap<>();

	Claims(ProcessContext node, String service, ClaimRegistry book, PeerQuestions questions, AgentMetrics metrics) {
		this.node = node;
		this.prefix = "baobabknot/claims/" + service + "/";
		this.book = book;
		this.questions = questions;
		this.metrics = metrics;
	}

	/**
	 * Asks for the claim of a key.
	 * @param requestId the request
	 * @param key hash of the key
	 * @param claimant told the result, on any thread
	 */
	void claim(Hash128 requestId, Hash128 key, Claimant claimant) {
		this.claimants.put(requestId, claimant);
		carryOut(this.book.requestClaim(requestId, key, time()));
	}

	/**
	 * Gives up a request that waits for its claim.
	 * @param requestId the request
	 */
	void withdraw(Hash128 requestId) {
		this.claimants.remove(requestId);
		this.book.cancel(requestId);
	}

	private ClaimTime time() {
		return new ClaimTime(this.node.nowNanos(), TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()));
	}

	private void carryOut(List<ClaimCommand> commands) {
		for (ClaimCommand command : commands) {
			if (command instanceof ClaimCommand.ReadBucket read) {
				read(read);
			}
			else if (command instanceof ClaimCommand.WriteBucket write) {
				write(write);
			}
			else if (command instanceof ClaimCommand.ScheduleWakeUp wake) {
				long delay = Math.max(0, wake.atNanos() - this.node.nowNanos());
				this.node.group()
					.next()
					.schedule(() -> carryOut(this.book.wakeUp(wake.bucket(), time())), delay, TimeUnit.NANOSECONDS);
			}
			else if (command instanceof ClaimCommand.ResolveClaim ask) {
				this.questions.ask(ask.claim())
					.thenAccept((resolution) -> carryOut(this.book.onResolution(ask, resolution, time())));
			}
			else {
				end(command);
			}
		}
	}

	private void read(ClaimCommand.ReadBucket command) {
		this.metrics.claimCall("read");
		this.node.store()
			.read(this.prefix + command.bucket())
			.whenComplete((result, error) -> carryOut(this.book.onReadResult(command, translate(result), time())));
	}

	private static BucketReadResult translate(@Nullable ReadResult result) {
		if (result instanceof ReadResult.Found found) {
			return new BucketReadResult.Value(found.value().version(), found.value().value());
		}
		return (result instanceof ReadResult.Absent) ? new BucketReadResult.Absent() : new BucketReadResult.Failed();
	}

	private void write(ClaimCommand.WriteBucket command) {
		this.metrics.claimCall("write");
		this.node.store()
			.compareAndSet(this.prefix + command.bucket(), command.expectedVersion(), command.value())
			.whenComplete((result, error) -> carryOut(this.book.onWriteResult(command, translate(result), time())));
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

	private void end(ClaimCommand command) {
		if (command instanceof ClaimCommand.Granted granted) {
			Claimant claimant = this.claimants.remove(granted.requestId());
			if (claimant != null) {
				claimant.granted();
			}
		}
		else if (command instanceof ClaimCommand.Denied denied) {
			Claimant claimant = this.claimants.remove(denied.requestId());
			if (claimant != null) {
				claimant.denied(denied.reason());
			}
		}
		else if (command instanceof ClaimCommand.ClaimedElsewhere elsewhere) {
			Claimant claimant = this.claimants.remove(elsewhere.requestId());
			if (claimant != null) {
				claimant.claimedElsewhere(elsewhere.claim(), elsewhere.resolution());
			}
		}
	}

	/**
	 * A request that waits for its claim.
	 */
	interface Claimant {

		/**
		 * The claim is in the store.
		 */
		void granted();

		/**
		 * The request must be refused as not run.
		 * @param reason why
		 */
		void denied(ClaimCommand.DenialReason reason);

		/**
		 * Another agent claimed the key.
		 * @param claim its claim
		 * @param resolution what became of its request
		 */
		void claimedElsewhere(Claim claim, Resolution resolution);

	}

}
