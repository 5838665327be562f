/**
 * Admission to one target: limits how many requests run at once and chooses the next of
 * the queued requests.
 *
 * <pre>{@code
 * TargetLimiter limiter = new TargetLimiter(LimiterSettings.reporting(2, 16));
 * limiter.targetObserved(incarnation, false, asked, now);
 * if (limiter.tryStart(now) instanceof Decision.Admitted admitted) {
 *     // ... run the request ...
 *     limiter.finished(Observation.healthy(admitted, latencyNanos), now);
 * }
 * }</pre>
 */
@NullMarked
package org.baobabknot.admission;

import org.jspecify.annotations.NullMarked;
