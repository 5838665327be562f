/**
 * Finds what requests under which targets crash have in common, from the crashes that all
 * entries have seen, and decides which requests are held back and which run alone.
 */
@NullMarked
package org.baobabknot.quarantine;

import org.jspecify.annotations.NullMarked;
