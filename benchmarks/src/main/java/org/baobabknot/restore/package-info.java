/**
 * Experiment on a store that comes back from an older copy: how long it takes until what
 * was written is in force again, and what it costs.
 */
@NullMarked
package org.baobabknot.restore;

import org.jspecify.annotations.NullMarked;
