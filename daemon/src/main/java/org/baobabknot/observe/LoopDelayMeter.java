package org.baobabknot.observe;

import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Measures the delay of a periodic task of an event loop. All other tasks of that loop
 * are delayed by about the same time. Confined to the loop.
 */
public final class LoopDelayMeter {

	/** Delay from which on it is logged: a quarter of a typical latency objective. */
	private static final long LOGGED_DELAY_MS = 100;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final DecisionLog log;

	private final long periodNanos;

	private final Histogram delaySeconds;

	private long lastRunNanos;

	/**
	 * Creates a meter.
	 * @param periodMs period of the task, in ms
	 * @param registry metrics registry of the process
	 * @param log receives an event for each late run
	 */
	public LoopDelayMeter(long periodMs, PrometheusRegistry registry, DecisionLog log) {
		this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMs);
		this.log = log;
		this.delaySeconds = Histogram.builder()
			.name("baobabknot_loop_delay_seconds")
			.help("how late a periodic task of the event loop runs")
			.classicUpperBounds(0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1)
			.classicOnly()
			.register(registry);
	}

	/**
	 * Records a run of the task.
	 * @param nowNanos monotonic time
	 */
	public void recordRun(long nowNanos) {
		if (this.lastRunNanos != 0) {
			long lateNanos = Math.max(0, nowNanos - this.lastRunNanos - this.periodNanos);
			this.delaySeconds.observe(lateNanos / NANOS_PER_SECOND);
			long lateMs = TimeUnit.NANOSECONDS.toMillis(lateNanos);
			if (lateMs >= LOGGED_DELAY_MS) {
				this.log.line(DecisionLog.Importance.STATE, "loop-late").with("lateMs", lateMs).write();
			}
		}
		this.lastRunNanos = nowNanos;
	}

}
