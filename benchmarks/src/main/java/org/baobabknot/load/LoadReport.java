package org.baobabknot.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;

/**
 * Collects the samples of one or more load generators. Thread-safe.
 */
public final class LoadReport {

	private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);

	private final List<Sample> samples = new ArrayList<>();

	/**
	 * Adds a sample.
	 * @param sample the sample
	 */
	public void add(Sample sample) {
		synchronized (this.samples) {
			this.samples.add(sample);
		}
	}

	/**
	 * Returns the samples so far.
	 * @return a copy
	 */
	public List<Sample> samples() {
		synchronized (this.samples) {
			return List.copyOf(this.samples);
		}
	}

	/**
	 * Returns the samples of one group.
	 * @param kind the group
	 * @return a new report with these samples only
	 */
	public LoadReport ofKind(String kind) {
		return filter((sample) -> sample.kind().equals(kind));
	}

	/**
	 * Returns the samples whose intended start lies in an interval.
	 * @param fromNanos start of the interval, monotonic time
	 * @param toNanos end of the interval, exclusive
	 * @return a new report with these samples only
	 */
	public LoadReport startedBetween(long fromNanos, long toNanos) {
		return filter((sample) -> sample.intendedNanos() - fromNanos >= 0 && sample.intendedNanos() - toNanos < 0);
	}

	private LoadReport filter(Predicate<Sample> predicate) {
		LoadReport filtered = new LoadReport();
		samples().stream().filter(predicate).forEach(filtered::add);
		return filtered;
	}

	/**
	 * Returns the number of finished requests.
	 * @return the number of samples
	 */
	public int requestCount() {
		synchronized (this.samples) {
			return this.samples.size();
		}
	}

	/**
	 * Counts the requests with an outcome.
	 * @param outcome the outcome
	 * @return the number of samples with this outcome
	 */
	public int count(LoadOutcome outcome) {
		return (int) samples().stream().filter((sample) -> sample.outcome() == outcome).count();
	}

	/**
	 * Returns the latencies of complete and correct responses.
	 * @return a histogram in microseconds
	 */
	public Histogram latencyHistogram() {
		Histogram histogram = new Histogram(MAX_LATENCY_MICROS, 3);
		for (Sample sample : samples()) {
			if (sample.outcome() == LoadOutcome.WHOLE) {
				histogram.recordValue(toMicros(sample.latencyNanos()));
			}
		}
		return histogram;
	}

	/**
	 * Returns the times to the first body byte of complete and correct responses.
	 * @return a histogram in microseconds
	 */
	public Histogram firstByteHistogram() {
		Histogram histogram = new Histogram(MAX_LATENCY_MICROS, 3);
		for (Sample sample : samples()) {
			if (sample.outcome() == LoadOutcome.WHOLE && sample.firstByteNanos() >= 0) {
				histogram.recordValue(toMicros(sample.firstByteNanos()));
			}
		}
		return histogram;
	}

	/**
	 * Returns a percentile of the latency of complete and correct responses.
	 * @param percentile from 0 to 100
	 * @return the latency in milliseconds
	 */
	public double latencyMillis(double percentile) {
		return latencyHistogram().getValueAtPercentile(percentile) / 1000.0;
	}

	/**
	 * Counts the requests that did not end as {@link LoadOutcome#WHOLE} by outcome, group
	 * and detail.
	 * @return the number of requests by a text of outcome, group and detail
	 */
	public Map<String, Integer> failureCounts() {
		Map<String, Integer> counts = new TreeMap<>();
		for (Sample sample : samples()) {
			if (sample.outcome() != LoadOutcome.WHOLE) {
				String detail = sample.detail().substring(0, Math.min(160, sample.detail().length()));
				counts.merge(sample.outcome() + " " + sample.kind() + " " + detail, 1, Integer::sum);
			}
		}
		return counts;
	}

	private static long toMicros(long nanos) {
		return Math.min(MAX_LATENCY_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
	}

}
