/**
 * Metrics, health endpoints, the timeline of events and structured logs.
 */
@NullMarked
package org.baobabknot.observe;

import org.jspecify.annotations.NullMarked;
