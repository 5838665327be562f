package org.baobabknot.mirror;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Items under a prefix at one position of the store.
 *
 * @param position position up to which the snapshot is complete
 * @param presentRevisions revision of each item that exists, 0 for one that is kept
 * although the store has not had it in this era
 * @param changedItems the items that the receiver lacks; all items if it has none of this
 * era
 */
public record MirrorSnapshot(Position position, Map<String, Long> presentRevisions, List<StoreItem> changedItems) {

	public MirrorSnapshot {
		presentRevisions = Map.copyOf(presentRevisions);
		changedItems = List.copyOf(changedItems);
	}

	/**
	 * Creates a snapshot from items that were read from the store.
	 * @param items all items under the prefix
	 * @param position position of the store up to which they are complete
	 * @return the snapshot
	 */
	public static MirrorSnapshot of(Collection<StoreItem> items, Position position) {
		Map<String, Long> present = new HashMap<>();
		items.forEach((item) -> present.put(item.key(), item.revision()));
		return new MirrorSnapshot(position, present, List.copyOf(items));
	}

}
