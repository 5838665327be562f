/**
 * Feeds mutated bytes to the parts that read what other processes send.
 */
@NullMarked
package org.baobabknot.fuzz;

import org.jspecify.annotations.NullMarked;
