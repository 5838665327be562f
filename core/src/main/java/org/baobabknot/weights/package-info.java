/**
 * Manifests of model versions and their verified chunks.
 *
 * <pre>{@code
 * ChunkSet chunks = new ChunkSet(manifest);
 * StoreResult result = chunks.put(3, bytes);
 * boolean loadable = chunks.complete() && chunks.verifyWhole();
 * }</pre>
 */
@NullMarked
package org.baobabknot.weights;

import org.jspecify.annotations.NullMarked;
