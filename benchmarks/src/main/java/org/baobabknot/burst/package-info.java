/**
 * The burst: a new model version on N replicas while live requests go on, against the
 * lower bound that the link rates and the switch limit set, and against replicas that all
 * fetch from the origin.
 */
@NullMarked
package org.baobabknot.burst;

import org.jspecify.annotations.NullMarked;
