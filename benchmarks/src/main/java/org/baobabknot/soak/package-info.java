/**
 * Soak test of gateways: real processes before emulated targets and an emulated store,
 * with overlapping faults drawn from a seed, and checks of what callers and targets have
 * seen.
 */
@NullMarked
package org.baobabknot.soak;

import org.jspecify.annotations.NullMarked;
