/**
 * Experiment with a burst: the distribution of a new model version to N replicas under
 * live requests. Its duration is compared with the lower bound set by the link rates and
 * the switch limit, and with replicas that all fetch from the origin.
 */
@NullMarked
package org.baobabknot.burst;

import org.jspecify.annotations.NullMarked;
