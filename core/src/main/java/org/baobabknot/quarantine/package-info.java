/**
 * Finds the parts of prompts under which targets crash, from the crashes that all entries
 * have seen, and decides which requests are held back.
 */
@NullMarked
package org.baobabknot.quarantine;

import org.jspecify.annotations.NullMarked;
