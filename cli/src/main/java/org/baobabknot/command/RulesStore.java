package org.baobabknot.command;

import java.util.function.LongConsumer;

import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.WriteResult;

/**
 * Reads and changes the rules in the store. If the response to a write was lost, the
 * value is read back to determine the outcome. While the store holds the earlier version,
 * the same change is written again, which is safe because only one write can match the
 * expected version.
 */
final class RulesStore {

	/** Key of the rules in the store. */
	static final String KEY = "baobabknot/rules";

	private static final long RETRY_DELAY_MS = 200;

	private final ConfigurationStore store;

	private final String peer;

	private final LongConsumer sleeper;

	RulesStore(ConfigurationStore store, String peer) {
		this(store, peer, CommandContext::sleep);
	}

	RulesStore(ConfigurationStore store, String peer, LongConsumer sleeper) {
		this.store = store;
		this.peer = peer;
		this.sleeper = sleeper;
	}

	/**
	 * Reads the rules.
	 * @return the rules and their version in the store
	 * @throws CommandFailure when the store does not respond
	 */
	VersionedRules read() throws CommandFailure {
		ReadResult result = CommandContext.await(this.store.read(KEY));
		if (result instanceof ReadResult.Found found) {
			return new VersionedRules(StoredRules.parse(found.value().value()), found.value().version());
		}
		if (result instanceof ReadResult.Absent) {
			return new VersionedRules(StoredRules.EMPTY, 0);
		}
		throw new CommandFailure(ExitStatus.UNREACHABLE, "store " + ((ReadResult.Failed) result).failure());
	}

	/**
	 * Writes a new state by compare-and-swap.
	 * @param next the new state
	 * @param expectedVersion version in the store on which the new state is based
	 * @param attempts maximum number of attempts
	 * @return the outcome of the change
	 * @throws CommandFailure when the store holds a malformed value
	 */
	ChangeOutcome write(StoredRules next, long expectedVersion, int attempts) throws CommandFailure {
		boolean possiblyWritten = false;
		String detail = "store " + this.peer + " did not answer";
		for (int attempt = 0; attempt < attempts; attempt++) {
			if (attempt > 0) {
				this.sleeper.accept(RETRY_DELAY_MS);
			}
			if (possiblyWritten) {
				ReadResult readBack = CommandContext.await(this.store.read(KEY));
				if (readBack instanceof ReadResult.Failed failed) {
					detail = failed.failure().toString();
					continue;
				}
				if (versionOf(readBack) != expectedVersion) {
					return outcomeAfterRead(next, readBack);
				}
			}
			WriteResult result = CommandContext.await(this.store.compareAndSet(KEY, expectedVersion, next.toBytes()));
			if (result instanceof WriteResult.Written) {
				return new ChangeOutcome.Accepted(next, possiblyWritten);
			}
			if (result instanceof WriteResult.Conflict && !possiblyWritten) {
				return new ChangeOutcome.Conflict(read().rules());
			}
			if (result instanceof WriteResult.Unknown unknown) {
				possiblyWritten = true;
				detail = unknown.failure().toString();
			}
			else if (result instanceof WriteResult.Failed failed) {
				detail = failed.failure().toString();
			}
		}
		return possiblyWritten ? new ChangeOutcome.Unknown(next.changeId(), detail)
				: new ChangeOutcome.NotWritten(detail);
	}

	private static long versionOf(ReadResult readBack) {
		return (readBack instanceof ReadResult.Found found) ? found.value().version() : 0;
	}

	private static ChangeOutcome outcomeAfterRead(StoredRules next, ReadResult readBack) throws CommandFailure {
		StoredRules current = (readBack instanceof ReadResult.Found found) ? StoredRules.parse(found.value().value())
				: StoredRules.EMPTY;
		return current.contains(next.changeId()) ? new ChangeOutcome.Accepted(next, true)
				: new ChangeOutcome.Conflict(current);
	}

	/**
	 * The rules with their version in the store.
	 *
	 * @param rules the rules
	 * @param version the version for compare-and-swap, 0 when absent
	 */
	record VersionedRules(StoredRules rules, long version) {
	}

}
