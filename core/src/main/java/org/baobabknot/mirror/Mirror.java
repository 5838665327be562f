package org.baobabknot.mirror;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Local copy of the items under one prefix of a store, with the position up to which it
 * is complete. When the store is restored from an older copy, an item whose writer has
 * not written it again is resolved by its {@link ItemKind}: the process may know of
 * changes that the store has forgotten. Confined to one thread.
 */
public final class Mirror {

	/** Time for which a removed item is remembered, longer than a copy is old. */
	private static final long REMOVAL_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(120);

	/** Removed items that are remembered. */
	private static final int MAX_REMOVALS = 4_096;

	/**
	 * Time after which an item that was removed before a restore counts as present if the
	 * restored store still has it: longer than an item stays whose writer has ended.
	 */
	private static final long REMOVED_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Longest time for which the sender of a snapshot keeps a removed item. */
	private static final long DELAYED_REMOVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final ItemRules rules;

	private final Map<String, Entry> entries = new HashMap<>();

	private final Map<String, Removal> removals = new LinkedHashMap<>();

	private Position position = Position.NONE;

	private @Nullable Restore restore;

	/**
	 * Creates an empty mirror.
	 * @param rules kinds and order of the items
	 */
	public Mirror(ItemRules rules) {
		this.rules = rules;
	}

	/**
	 * Returns the position of the store up to which the items are complete.
	 * @return the position, {@link Position#NONE} if nothing was read yet
	 */
	public Position position() {
		return this.position;
	}

	/**
	 * Returns the last restore of the store that this mirror has gone through.
	 * @return the restore, nothing if all reads were of one era
	 */
	public Optional<Restore> lastRestore() {
		return Optional.ofNullable(this.restore);
	}

	private Map<String, Long> revisions() {
		Map<String, Long> revisions = new HashMap<>();
		this.entries.forEach((key, entry) -> {
			if (entry.value != null) {
				revisions.put(key, entry.revision);
			}
		});
		return revisions;
	}

	/**
	 * Finds an item.
	 * @param key the key
	 * @return the item, nothing if it does not exist
	 */
	public Optional<StoreItem> item(String key) {
		return Optional.ofNullable(this.entries.get(key))
			.filter((entry) -> entry.value != null)
			.map((entry) -> new StoreItem(key, entry.value, entry.revision));
	}

	/**
	 * Returns the revision at which the store has an item, which may be older than the
	 * item here.
	 * @param key the key
	 * @return the revision, 0 if the store does not have it
	 */
	public long storeRevision(String key) {
		Entry entry = this.entries.get(key);
		return (entry != null) ? entry.revision : 0;
	}

	/**
	 * Returns whether it is shown that the writer of an item has written it since the
	 * last restore.
	 * @param key the key
	 * @return whether the item here is the one of the store and was written in this era;
	 * false as long as the store was not restored
	 */
	public boolean isWrittenAgain(String key) {
		Entry entry = this.entries.get(key);
		return this.restore != null && entry != null && entry.isStored()
				&& (entry.writtenAgain || entry.revision > this.restore.revision());
	}

	/**
	 * Applies a change of the current era.
	 * @param change a new version of an item, or its removal
	 * @param nowNanos monotonic time
	 * @return the change of the local items, if any
	 */
	public Optional<StoreItem> apply(StoreItem change, long nowNanos) {
		Entry current = this.entries.get(change.key());
		byte[] value = change.value();
		if (current != null && current.revision >= change.revision()) {
			return Optional.empty();
		}
		if (value == null) {
			return remove(change.key(), change.revision(), true, nowNanos);
		}
		if (current == null && wasRemovedBeforeRestore(change.key(), value, nowNanos)) {
			if (change.revision() > 0) {
				this.entries.put(change.key(), removed(value, change.revision(), nowNanos));
			}
			return Optional.empty();
		}
		if (current != null && !current.isStored() && isOlder(change.key(), current, value)) {
			this.entries.put(change.key(), new Entry(current.value, value, change.revision(), null, false));
			return Optional.empty();
		}
		this.entries.put(change.key(), unresolved(change, value, nowNanos));
		return Optional.of(change);
	}

	private Entry unresolved(StoreItem item, byte[] value, long nowNanos) {
		return (item.revision() > 0) ? Entry.stored(value, item.revision(), false)
				: missing(item.key(), value, nowNanos);
	}

	// An item that the store has not had in this era, kept for as long as its kind is.
	private Entry missing(String key, byte[] value, long nowNanos) {
		long retentionNanos = this.rules.kind(key).retentionNanos();
		return new Entry(value, null, 0, (retentionNanos == Long.MAX_VALUE) ? null : nowNanos + retentionNanos, false);
	}

	private boolean isOlder(String key, Entry current, byte[] value) {
		byte[] known = current.value;
		return known != null && this.rules.kind(key).keepsKnown(this.rules.compare(key, known, value));
	}

	// The item of the restored store is not newer than the one that was removed in an
	// earlier era, or older than one that was not written again in time.
	private boolean wasRemovedBeforeRestore(String key, byte[] value, long nowNanos) {
		Removal removal = this.removals.get(key);
		if (removal == null || !this.rules.kind(key).remembersRemovals()
				|| removal.position().era() >= this.position.era()
				|| nowNanos - removal.nanos() > REMOVAL_MEMORY_NANOS) {
			return false;
		}
		int order = this.rules.compare(key, removal.value(), value);
		return (removal.shown()) ? order <= 0 : order < 0;
	}

	private static Entry removed(byte[] storeValue, long revision, long nowNanos) {
		return new Entry(null, storeValue, revision, nowNanos + REMOVED_NANOS, false);
	}

	private Optional<StoreItem> remove(String key, long revision, boolean shown, long nowNanos) {
		Entry removed = this.entries.remove(key);
		byte[] value = (removed != null) ? removed.value : null;
		if (value == null) {
			return Optional.empty();
		}
		rememberRemoval(key, new Removal(value, new Position(this.position.era(), revision), shown, nowNanos));
		return Optional.of(new StoreItem(key, null, revision));
	}

	private void rememberRemoval(String key, Removal removal) {
		this.removals.remove(key);
		this.removals.put(key, removal);
		this.removals.values().removeIf((each) -> removal.nanos() - each.nanos() > REMOVAL_MEMORY_NANOS);
		if (this.removals.size() > MAX_REMOVALS) {
			this.removals.remove(this.removals.keySet().iterator().next());
		}
	}

	/**
	 * Merges a snapshot from another process or from a read of a whole prefix. A snapshot
	 * older than the local copy is ignored, because it may contain items that were
	 * removed since, and so is an item of a newer snapshot that was removed here. A
	 * snapshot of a newer era has to contain all items.
	 * @param prefix prefix of the keys that the snapshot covers completely
	 * @param snapshot the snapshot
	 * @param nowNanos monotonic time
	 * @return the changes that were applied, including removals
	 */
	public List<StoreItem> merge(String prefix, MirrorSnapshot snapshot, long nowNanos) {
		if (this.position.isKnown() && snapshot.position().era() > this.position.era()) {
			return mergeRestored(prefix, snapshot, nowNanos);
		}
		if (snapshot.position().compareTo(this.position) < 0) {
			return List.of();
		}
		List<StoreItem> changes = new ArrayList<>();
		this.entries.forEach((key, entry) -> {
			// The store has not had an item at revision 0, so that it is missing is not
			// new.
			if (key.startsWith(prefix) && entry.revision > 0 && !snapshot.presentRevisions().containsKey(key)) {
				changes.add(new StoreItem(key, null, Math.max(entry.revision + 1, snapshot.position().revision())));
			}
		});
		snapshot.changedItems().stream().filter((item) -> !wasRemoved(item, nowNanos)).forEach(changes::add);
		List<StoreItem> applied = changes.stream()
			.map((change) -> apply(change, nowNanos))
			.flatMap(Optional::stream)
			.toList();
		markComplete(snapshot.position());
		return applied;
	}

	// The sender of a snapshot may keep an item for a while after its removal. One that
	// the store has not had in this era was kept here for long enough.
	private boolean wasRemoved(StoreItem item, long nowNanos) {
		Removal removal = this.removals.get(item.key());
		return removal != null && (item.revision() == 0 || nowNanos - removal.nanos() <= DELAYED_REMOVAL_NANOS)
				&& new Position(this.position.era(), item.revision()).compareTo(removal.position()) <= 0;
	}

	private List<StoreItem> mergeRestored(String prefix, MirrorSnapshot snapshot, long nowNanos) {
		List<StoreItem> changes = new ArrayList<>();
		Position before = this.position;
		this.position = snapshot.position();
		int kept = 0;
		for (Map.Entry<String, Entry> each : List.copyOf(this.entries.entrySet())) {
			if (each.getKey().startsWith(prefix) && !snapshot.presentRevisions().containsKey(each.getKey())) {
				byte[] value = each.getValue().value;
				if (value == null) {
					this.entries.remove(each.getKey());
				}
				else {
					this.entries.put(each.getKey(), missing(each.getKey(), value, nowNanos));
					kept++;
				}
			}
		}
		for (StoreItem item : snapshot.changedItems()) {
			if (item.revision() == 0 && item(item.key()).isEmpty()
					&& wasRemovedBeforeRestore(item.key(), Objects.requireNonNull(item.value()), nowNanos)) {
				this.entries.remove(item.key());
				continue;
			}
			Entry resolved = resolve(item, before, nowNanos);
			Entry previous = this.entries.put(item.key(), resolved);
			kept += (resolved.isStored()) ? 0 : 1;
			if (resolved.value != null
					&& (previous == null || previous.value == null || !Arrays.equals(previous.value, resolved.value))) {
				changes.add(new StoreItem(item.key(), resolved.value, item.revision()));
			}
		}
		this.restore = new Restore(before, this.position, kept, nowNanos);
		return changes;
	}

	private Entry resolve(StoreItem item, Position before, long nowNanos) {
		Entry current = this.entries.get(item.key());
		byte[] value = Objects.requireNonNull(item.value(), "a snapshot has no removals");
		ItemKind kind = this.rules.kind(item.key());
		if (current == null || current.value == null) {
			return wasRemovedBeforeRestore(item.key(), value, nowNanos) ? removed(value, item.revision(), nowNanos)
					: unresolved(item, value, nowNanos);
		}
		int order = this.rules.compare(item.key(), current.value, value);
		if (item.revision() == 0) {
			return missing(item.key(), kind.keepsKnown(order) ? current.value : value, nowNanos);
		}
		if (kind.keepsKnown(order)) {
			return new Entry(current.value, value, item.revision(), null, false);
		}
		return Entry.stored(value, item.revision(), isShownToBeWritten(current, item, before, order));
	}

	// Up to its position this process has seen all changes of the previous era. An item
	// that is not older, at a revision at which that era had no change of it, was written
	// after the restore.
	private static boolean isShownToBeWritten(Entry known, StoreItem item, Position before, int order) {
		return order >= 0 && item.revision() != known.revision && item.revision() <= before.revision();
	}

	/**
	 * Records that all changes up to a position were applied. A position before that of
	 * the mirror is ignored.
	 * @param upTo position of the store
	 */
	public void markComplete(Position upTo) {
		if (upTo.compareTo(this.position) > 0) {
			this.position = upTo;
		}
	}

	/**
	 * Ends what was kept for a limited time after a restore, so that the items of the
	 * store hold.
	 * @param nowNanos monotonic time
	 * @return the changes
	 */
	public List<StoreItem> expire(long nowNanos) {
		List<StoreItem> changes = new ArrayList<>();
		for (Map.Entry<String, Entry> each : List.copyOf(this.entries.entrySet())) {
			Entry entry = each.getValue();
			if (entry.untilNanos == null || nowNanos - entry.untilNanos < 0) {
				continue;
			}
			if (entry.storeValue == null) {
				remove(each.getKey(), this.position.revision(), false, nowNanos).ifPresent(changes::add);
			}
			else {
				this.entries.put(each.getKey(), Entry.stored(entry.storeValue, entry.revision, false));
				changes.add(new StoreItem(each.getKey(), entry.storeValue, entry.revision));
			}
		}
		return changes;
	}

	/**
	 * Returns when something is to be ended by {@link #expire(long)}.
	 * @return monotonic time, nothing if nothing is kept for a limited time
	 */
	public OptionalLong nextExpiryNanos() {
		Long next = null;
		for (Entry entry : this.entries.values()) {
			if (entry.untilNanos != null && (next == null || entry.untilNanos - next < 0)) {
				next = entry.untilNanos;
			}
		}
		return (next != null) ? OptionalLong.of(next) : OptionalLong.empty();
	}

	/**
	 * Returns the revisions of the items here, to get what is newer from another process.
	 * @return a copy
	 */
	public KnownRevisions known() {
		return new KnownRevisions(this.position.era(), revisions());
	}

	/**
	 * Returns the items for another process.
	 * @param prefix prefix of the requested keys
	 * @param known the items that the other process has
	 * @return a snapshot with the items that it lacks or has in an older revision
	 */
	public MirrorSnapshot snapshot(String prefix, KnownRevisions known) {
		Map<String, Long> knownRevisions = known.comparableIn(this.position.era());
		Map<String, Long> present = new HashMap<>();
		List<StoreItem> newerItems = new ArrayList<>();
		this.entries.forEach((key, entry) -> {
			if (entry.value == null || !key.startsWith(prefix)) {
				return;
			}
			present.put(key, entry.revision);
			if (knownRevisions.getOrDefault(key, -1L) < entry.revision) {
				newerItems.add(new StoreItem(key, entry.value, entry.revision));
			}
		});
		return new MirrorSnapshot(this.position, present, newerItems);
	}

	/**
	 * A restore of the store, as a process has seen it.
	 *
	 * @param before position of the process when it learned of the restore
	 * @param after position of the first read of the new era
	 * @param keptItems number of items that the process keeps although the store lacks
	 * them or has them older
	 * @param nanos monotonic time at which the process learned of it
	 */
	public record Restore(Position before, Position after, int keptItems, long nanos) {

		long revision() {
			return this.after.revision();
		}

	}

	/**
	 * An item that was removed here.
	 *
	 * @param value its last value
	 * @param position position at which it was removed
	 * @param shown whether the store has removed it; false if it was not written again in
	 * time after a restore
	 * @param nanos monotonic time of its removal here
	 */
	@SuppressWarnings("ArrayRecordComponent")
	private record Removal(byte[] value, Position position, boolean shown, long nanos) {
	}

	/** An item here and at the store. */
	private static final class Entry {

		/** The value that holds here, {@code null} if the item counts as removed. */
		private final byte @Nullable [] value;

		/** The value at the store, {@code null} if the store does not have the item. */
		private final byte @Nullable [] storeValue;

		private final long revision;

		private final @Nullable Long untilNanos;

		private final boolean writtenAgain;

		Entry(byte @Nullable [] value, byte @Nullable [] storeValue, long revision, @Nullable Long untilNanos,
				boolean writtenAgain) {
			this.value = value;
			this.storeValue = storeValue;
			this.revision = revision;
			this.untilNanos = untilNanos;
			this.writtenAgain = writtenAgain;
		}

		static Entry stored(byte[] value, long revision, boolean writtenAgain) {
			return new Entry(value, value, revision, null, writtenAgain);
		}

		boolean isStored() {
			return this.value == this.storeValue;
		}

	}

}
