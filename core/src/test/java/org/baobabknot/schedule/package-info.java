/**
 * Simulated event loop for tests of decisions under delay, loss and crashes.
 */
@NullMarked
package org.baobabknot.schedule;

import org.jspecify.annotations.NullMarked;
