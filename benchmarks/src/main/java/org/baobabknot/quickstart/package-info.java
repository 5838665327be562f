/**
 * Quick start: runs a complete deployment as separate processes, with a rollout and the
 * outage of a failure domain under load, and checks the results against the targets'
 * records.
 */
@NullMarked
package org.baobabknot.quickstart;

import org.jspecify.annotations.NullMarked;
