/**
 * Chooses the target of a request, refuses requests whose response would be late and sets
 * the delay after which their callers should retry.
 */
@NullMarked
package org.baobabknot.placement;

import org.jspecify.annotations.NullMarked;
