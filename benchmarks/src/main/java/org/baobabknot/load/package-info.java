/**
 * HTTP load generator: open-loop rates and closed-loop callers over keep-alive
 * connections, with answers checked against known right ones.
 *
 * <p>
 * The latency of an open-loop request counts from its intended start, so a stalled system
 * cannot hide its delay by holding back requests (coordinated omission).
 */
@NullMarked
package org.baobabknot.load;

import org.jspecify.annotations.NullMarked;
