/**
 * Measures the cost per element of the shared tables and messages. docs/CAPACITY.md
 * derives the load at the target size from these figures.
 */
@NullMarked
package org.baobabknot.capacity;

import org.jspecify.annotations.NullMarked;
