package org.baobabknot.command;

import java.util.function.LongConsumer;

import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.WriteResult;

/**
 * Reads and changes the rules in the store. A change whose answer was lost is settled by
 * reading back; while the store holds the earlier version, the same change is written
 * again, which is safe because only one write can match the expected version.
 */
final class RulesStore {

	/** Key of the rules in the store. */
	static final String KEY = "baobabknot/rules";

	private static final long RETRY_MILLIS = 200;

	private final ConfigurationStore store;

	private final String peer;

	private final LongConsumer pause;

	RulesStore(ConfigurationStore store, String peer) {
		this(store, peer, Tool::pause);
	}

	RulesStore(ConfigurationStore store, String peer, LongConsumer pause) {
		this.store = store;
		this.peer = peer;
		this.pause = pause;
	}

	/**
	 * Reads the rules.
	 * @return the rules and their version in the store
	 * @throws CommandFailure when the store does not answer
	 */
	Versioned read() throws CommandFailure {
		ReadResult result = Tool.await(this.store.read(KEY));
		if (result instanceof ReadResult.Found found) {
			return new Versioned(StoredRules.parse(found.value().value()), found.value().version());
		}
		if (result instanceof ReadResult.Absent) {
			return new Versioned(StoredRules.NONE, 0);
		}
		throw new CommandFailure(ExitStatus.UNREACHABLE, "store " + ((ReadResult.Failed) result).failure());
	}

	/**
	 * Writes the next state.
	 * @param next the state
	 * @param expectedVersion version in the store on which it is based
	 * @param attempts how often to ask the store before giving up
	 * @return what became of the change
	 * @throws CommandFailure when the store holds a malformed value
	 */
	ChangeOutcome write(StoredRules next, long expectedVersion, int attempts) throws CommandFailure {
		boolean uncertain = false;
		String detail = "store " + this.peer + " did not answer";
		for (int attempt = 0; attempt < attempts; attempt++) {
			if (attempt > 0) {
				this.pause.accept(RETRY_MILLIS);
			}
			if (uncertain) {
				ReadResult seen = Tool.await(this.store.read(KEY));
				if (seen instanceof ReadResult.Failed failed) {
					detail = failed.failure().toString();
					continue;
				}
				if (version(seen) != expectedVersion) {
					return settled(next, seen);
				}
			}
			WriteResult result = Tool.await(this.store.compareAndSet(KEY, expectedVersion, next.toBytes()));
			if (result instanceof WriteResult.Written) {
				return new ChangeOutcome.Accepted(next, uncertain);
			}
			if (result instanceof WriteResult.Conflict && !uncertain) {
				return new ChangeOutcome.Overtaken(read().rules());
			}
			if (result instanceof WriteResult.Unknown unknown) {
				uncertain = true;
				detail = unknown.failure().toString();
			}
			else if (result instanceof WriteResult.Failed failed) {
				detail = failed.failure().toString();
			}
		}
		return uncertain ? new ChangeOutcome.Unknown(next.changeId(), detail) : new ChangeOutcome.NotWritten(detail);
	}

	private static long version(ReadResult seen) {
		return (seen instanceof ReadResult.Found found) ? found.value().version() : 0;
	}

	private static ChangeOutcome settled(StoredRules next, ReadResult seen) throws CommandFailure {
		StoredRules current = (seen instanceof ReadResult.Found found) ? StoredRules.parse(found.value().value())
				: StoredRules.NONE;
		return current.contains(next.changeId()) ? new ChangeOutcome.Accepted(next, true)
				: new ChangeOutcome.Overtaken(current);
	}

	/**
	 * The rules with their version in the store.
	 *
	 * @param rules the rules
	 * @param version the version for compare-and-swap, 0 when absent
	 */
	record Versioned(StoredRules rules, long version) {
	}

}
