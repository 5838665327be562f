/**
 * Cost of the shared tables and messages per element, from which docs/CAPACITY.md derives
 * the load at the target size.
 */
@NullMarked
package org.baobabknot.capacity;

import org.jspecify.annotations.NullMarked;
