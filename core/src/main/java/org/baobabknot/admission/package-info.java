/**
 * Admission to one target: limits how many requests run at once and chooses the next of
 * the queued requests.
 *
 * <pre>{@code
 * TargetLimiter limiter = new TargetLimiter(LimiterSettings.withStatusReports(2, 16));
 * limiter.onStatusReport(incarnation, false, requested, now);
 * if (limiter.tryStart(now) instanceof AdmissionDecision.Admitted admitted) {
 *     // ... run the request ...
 *     limiter.finish(RequestObservation.healthy(admitted, latencyNanos), now);
 * }
 * }</pre>
 */
@NullMarked
package org.baobabknot.admission;

import org.jspecify.annotations.NullMarked;
