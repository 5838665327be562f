/**
 * Accepts the requests of callers on the users' platform and sends them directly to
 * targets.
 */
@NullMarked
package org.baobabknot.gateway;

import org.jspecify.annotations.NullMarked;
