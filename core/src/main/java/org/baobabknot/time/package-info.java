/**
 * Hybrid logical time and the bounded timeline of the events of a process.
 *
 * <pre>{@code
 * HybridClock clock = new HybridClock(wallMillis);
 * Timeline timeline = new Timeline(1024);
 * timeline.append(new TimelineEvent(clock.now(), "agent-1", "adopted", "revision 7"));
 * }</pre>
 */
@NullMarked
package org.baobabknot.time;

import org.jspecify.annotations.NullMarked;
