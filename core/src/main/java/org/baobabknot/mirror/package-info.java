/**
 * Local copies of the items of a store that may be restored from an older copy of its
 * own. What a process knows goes before what the store has forgotten, by kinds of items:
 *
 * <pre>{@code
 * Mirror mirror = new Mirror(rules);
 * mirror.merge("", new MirrorSnapshot(new Position(1, 9), present, items), now);
 * mirror.merge("", new MirrorSnapshot(new Position(2, 5), present, olderItems), now);
 * }</pre>
 */
@NullMarked
package org.baobabknot.mirror;

import org.jspecify.annotations.NullMarked;
