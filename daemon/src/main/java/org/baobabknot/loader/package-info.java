/**
 * Loader process: fetches weights from the origin and other loaders, stages them at the
 * engine on the same machine and orders the engine to load them.
 */
@NullMarked
package org.baobabknot.loader;

import org.jspecify.annotations.NullMarked;
