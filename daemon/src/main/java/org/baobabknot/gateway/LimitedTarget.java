package org.baobabknot.gateway;

import org.baobabknot.limit.PermitHolder;
import org.baobabknot.limit.StatedLimit;

/**
 * One start of a target, as limits need it.
 *
 * @param key the start, as a hash
 * @param region region of the target
 * @param limit what it has stated
 * @param permits permits of this process
 */
record LimitedTarget(long key, String region, StatedLimit limit, PermitHolder permits) {
}
