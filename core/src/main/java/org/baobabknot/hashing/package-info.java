/**
 * Rendezvous hashing, with which processes that have the same list of names agree on a
 * ranking without exchanging messages.
 *
 * <pre>{@code
 * List<String> ranked = RendezvousHash.rank("chunk-7", names, (name) -> name);
 * }</pre>
 */
@NullMarked
package org.baobabknot.hashing;

import org.jspecify.annotations.NullMarked;
