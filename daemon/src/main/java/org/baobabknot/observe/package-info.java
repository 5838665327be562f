/**
 * Metrics, health endpoints, the timeline and structured log lines.
 */
@NullMarked
package org.baobabknot.observe;

import org.jspecify.annotations.NullMarked;
