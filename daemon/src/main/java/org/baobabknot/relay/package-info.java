/**
 * Distributes the values that operators have stored from process to process within a
 * region.
 */
@NullMarked
package org.baobabknot.relay;

import org.jspecify.annotations.NullMarked;
