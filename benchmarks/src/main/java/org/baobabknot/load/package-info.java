/**
 * HTTP load generator: open-loop rates and closed-loop callers over keep-alive
 * connections, with responses checked against the expected content.
 *
 * <p>
 * The latency of an open-loop request counts from its intended start, so that the delay
 * of a stalled system is counted even if it delays the sending of requests (coordinated
 * omission).
 */
@NullMarked
package org.baobabknot.load;

import org.jspecify.annotations.NullMarked;
