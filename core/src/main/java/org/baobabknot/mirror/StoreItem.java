package org.baobabknot.mirror;

import org.jspecify.annotations.Nullable;

/**
 * Version of an item of a store, or its removal.
 *
 * @param key the key
 * @param value the value, {@code null} if the key was removed
 * @param revision revision of the change in the era of the response that has it; 0 for an
 * item that the store has not had in this era
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte @Nullable [] value, long revision) {
}
