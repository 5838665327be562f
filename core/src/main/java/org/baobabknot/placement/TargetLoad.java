package org.baobabknot.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What this process knows of the load and the health of one target. Confined to one
 * thread.
 */
public final class TargetLoad {

	/** Weight of the newest result in the averages. */
	private static final double NEWEST_WEIGHT = 0.2;

	/** Time in which an average of failures fades to 1/e without new results. */
	private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** Time for which a target is avoided at first. */
	private static final long MIN_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Times that this time is doubled at most, less one. */
	private static final int MAX_AVOIDANCES = 4;

	/** Time for which an observation counts; it is renewed at least once a second. */
	private static final long MAX_LOADER_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** Time for which a reported load is taken as it is. */
	private static final double RESPONSE_LOAD_FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time in which it then fades to 1/e. */
	private static final double RESPONSE_LOAD_DECAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time without a report after which its target lags: the loaders send one every 0.8 s
	 * at least.
	 */
	private static final double MAX_LOADER_REPORT_INTERVAL_MS = 1_000;

	/**
	 * Time without a report after which the process beside the target is taken for gone,
	 * which says nothing about the target.
	 */
	private static final double LOADER_TIMEOUT_MS = 4_000;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final ColdRateLimiter coldRateLimiter = new ColdRateLimiter();

	private final Map<Object, ExpectedFirstByte> awaitingFirstByte = new LinkedHashMap<>();

	private double lagMs;

	private long lagUpdatedNanos;

	private int inFlight;

	private double othersInFlight;

	private long responseLoadNanos;

	private int loaderReportedRequests;

	private int inFlightAtLoaderReport;

	private long loaderReportNanos;

	private double linkDelayMs;

	private double othersLateMs;

	private long newestConfirmedNanos = Long.MIN_VALUE;

	private boolean hasLoaderReport;

	private boolean notAccepting;

	private double failureRatio;

	private long failuresUpdatedNanos;

	private double slowness = 1;

	private long slownessUpdatedNanos;

	private long avoidedUntilNanos;

	private boolean avoided;

	private int avoidances;

	private long lastProgressNanos;

	private long lastSentNanos;

	private long version;

	/**
	 * Counts a request that is sent to the target.
	 * @param nowNanos monotonic time
	 */
	public void recordSent(long nowNanos) {
		if (this.inFlight == 0) {
			this.lastProgressNanos = nowNanos;
		}
		this.inFlight++;
		this.lastSentNanos = nowNanos;
	}

	/**
	 * Takes note of a request whose first byte is expected.
	 * @param request the request, which {@link #recordFirstByte} and
	 * {@link #recordDropped} name again
	 * @param predictedMs time to the first byte as it was predicted, in ms
	 * @param nowNanos monotonic time
	 */
	public void expectFirstByte(Object request, double predictedMs, long nowNanos) {
		this.awaitingFirstByte.put(request, new ExpectedFirstByte(nowNanos, predictedMs));
	}

	/**
	 * Takes note of the first byte of an answer.
	 * @param request the request
	 * @param nowNanos monotonic time
	 */
	public void recordFirstByte(Object request, long nowNanos) {
		ExpectedFirstByte expected = this.awaitingFirstByte.remove(request);
		if (expected != null) {
			this.newestConfirmedNanos = Math.max(this.newestConfirmedNanos, expected.sentNanos());
			double excessMs = Math.max(0, expected.lateMs(nowNanos));
			this.lagMs = decayed(this.lagMs, this.lagUpdatedNanos, nowNanos) * (1 - NEWEST_WEIGHT)
					+ excessMs * NEWEST_WEIGHT;
			this.lagUpdatedNanos = nowNanos;
		}
	}

	/**
	 * Forgets a request that will not be answered.
	 * @param request the request
	 * @param nowNanos monotonic time
	 */
	public void recordDropped(Object request, long nowNanos) {
		ExpectedFirstByte expected = this.awaitingFirstByte.remove(request);
		if (expected != null && expected.lateMs(nowNanos) > lagMs(nowNanos)) {
			this.lagMs = expected.lateMs(nowNanos);
			this.lagUpdatedNanos = nowNanos;
		}
	}

	/**
	 * Returns how much later than predicted answers of the target begin, whatever they
	 * ask: a narrow link or a target that is slow. A request that is not answered yet
	 * counts with the time that it has waited, so that a target shows up before its first
	 * late answer.
	 * @param nowNanos monotonic time
	 * @return time in ms
	 */
	public double lagMs(long nowNanos) {
		double knownLagMs = Math.max(decayed(this.lagMs, this.lagUpdatedNanos, nowNanos),
				Math.max(loaderReportOverdueMs(nowNanos), othersLateMs(nowNanos)));
		if (this.awaitingFirstByte.isEmpty()) {
			return knownLagMs;
		}
		return Math.max(knownLagMs, this.awaitingFirstByte.values().iterator().next().lateMs(nowNanos));
	}

	/**
	 * Returns by how much requests of other processes are late without a sign of receipt.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if nothing is known that is fresh
	 */
	public double othersLateMs(long nowNanos) {
		return (hasFreshLoaderReport(nowNanos)) ? this.othersLateMs : 0;
	}

	private double loaderReportOverdueMs(long nowNanos) {
		double ageMs = (nowNanos - this.loaderReportNanos) / NANOS_PER_MS;
		return (this.hasLoaderReport && ageMs < LOADER_TIMEOUT_MS) ? Math.max(0, ageMs - MAX_LOADER_REPORT_INTERVAL_MS)
				: 0;
	}

	/**
	 * Returns the requests of this process of whose receipt there is no sign: no answer
	 * to them, nor to one that was sent later.
	 * @return their number
	 */
	public int unconfirmed() {
		return (int) this.awaitingFirstByte.values().stream().filter(this::unconfirmed).count();
	}

	/**
	 * Returns by how much the first of them is later than predicted.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if there is none
	 */
	public double unconfirmedMs(long nowNanos) {
		return this.awaitingFirstByte.values()
			.stream()
			.filter(this::unconfirmed)
			.findFirst()
			.map((expected) -> Math.max(0, expected.lateMs(nowNanos)))
			.orElse(0.0);
	}

	private boolean unconfirmed(ExpectedFirstByte expected) {
		return expected.sentNanos() > this.newestConfirmedNanos;
	}

	private static double decayed(double value, long updatedNanos, long nowNanos) {
		return value * Math.exp(-Math.max(0, nowNanos - updatedNanos) / DECAY_NANOS);
	}

	/**
	 * Counts a request that has ended at the target.
	 */
	public void ended() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	/**
	 * Takes note of any bytes from the target.
	 * @param nowNanos monotonic time
	 */
	public void recordProgress(long nowNanos) {
		this.lastProgressNanos = nowNanos;
	}

	/**
	 * Takes note of the load that the target tells with an answer.
	 * @param requests requests that run or wait there, with this one
	 * @param nowNanos monotonic time
	 */
	public void recordResponseLoad(int requests, long nowNanos) {
		this.othersInFlight = Math.max(0, requests - this.inFlight);
		this.responseLoadNanos = nowNanos;
	}

	/**
	 * Takes note of the load that the process beside the target sees. It replaces what
	 * the target told with its answers as long as it is fresh.
	 * @param requests requests that run or wait at the target
	 * @param accepts whether the target starts new requests, false while it loads weights
	 * @param linkDelayMs time for which bytes wait at the link of the target's machine,
	 * in ms
	 * @param othersLateMs by how much requests of other processes are late there without
	 * a sign of receipt, in ms
	 * @param nowNanos monotonic time
	 */
	public void loaderReportedRequests(int requests, boolean accepts, double linkDelayMs, double othersLateMs,
			long nowNanos) {
		this.loaderReportedRequests = requests;
		this.linkDelayMs = linkDelayMs;
		this.othersLateMs = othersLateMs;
		// What is on its way is not seen there.
		this.inFlightAtLoaderReport = Math.min(this.inFlight, requests);
		this.loaderReportNanos = nowNanos;
		this.hasLoaderReport = true;
		this.notAccepting = !accepts;
	}

	/**
	 * Returns for how long bytes wait at the link of the target's machine, as the process
	 * beside it measures. What is sent over a link that is filled can't be taken back.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if nothing is known that is fresh
	 */
	public double linkDelayMs(long nowNanos) {
		return (hasFreshLoaderReport(nowNanos)) ? this.linkDelayMs : 0;
	}

	/**
	 * Tells whether the target is known to start no new requests.
	 * @param nowNanos monotonic time
	 * @return whether to prefer any other target
	 */
	public boolean notAccepting(long nowNanos) {
		return this.notAccepting && hasFreshLoaderReport(nowNanos);
	}

	private boolean hasFreshLoaderReport(long nowNanos) {
		return this.hasLoaderReport && nowNanos - this.loaderReportNanos < MAX_LOADER_REPORT_AGE_NANOS;
	}

	/**
	 * Counts a request that the target served or refused properly.
	 * @param nowNanos monotonic time
	 */
	public void recordSuccess(long nowNanos) {
		this.failureRatio = failureRatio(nowNanos) * (1 - NEWEST_WEIGHT);
		this.failuresUpdatedNanos = nowNanos;
		this.avoided = false;
		this.avoidances = 0;
	}

	/**
	 * Counts a request that failed at the target.
	 * @param nowNanos monotonic time
	 */
	public void recordFailure(long nowNanos) {
		this.failureRatio = failureRatio(nowNanos) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
		this.failuresUpdatedNanos = nowNanos;
	}

	/**
	 * Takes note of the time to the first byte compared with what was predicted.
	 * @param ratio measured time divided by the predicted time
	 * @param nowNanos monotonic time
	 */
	public void recordSlowness(double ratio, long nowNanos) {
		this.slowness = slowness(nowNanos) * (1 - NEWEST_WEIGHT) + Math.min(10, ratio) * NEWEST_WEIGHT;
		this.slownessUpdatedNanos = nowNanos;
	}

	/**
	 * Keeps requests away from the target after it was silent or refused connections,
	 * each time for longer until it serves again: what is sent over a link that is stuck
	 * may arrive after its caller has left.
	 * @param nowNanos monotonic time
	 */
	public void avoid(long nowNanos) {
		if (!avoided(nowNanos)) {
			this.avoidances = Math.min(MAX_AVOIDANCES, this.avoidances + 1);
		}
		this.avoidedUntilNanos = nowNanos + (MIN_AVOIDANCE_NANOS << (this.avoidances - 1));
		this.avoided = true;
	}

	/**
	 * Tells whether requests are kept away from the target.
	 * @param nowNanos monotonic time
	 * @return whether to prefer any other target
	 */
	public boolean avoided(long nowNanos) {
		return this.avoided && nowNanos - this.avoidedUntilNanos < 0;
	}

	/**
	 * Takes note of the version of its weights that the target tells with an answer.
	 * @param version the version
	 */
	public void version(long version) {
		this.version = Math.max(this.version, version);
	}

	/**
	 * Returns the newest version that the target told with an answer.
	 * @return the version, 0 if it told none
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the requests of this process at the target.
	 * @return their number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Estimates the requests of all processes at the target.
	 * @param nowNanos monotonic time
	 * @return their number
	 */
	public double estimatedRequests(long nowNanos) {
		if (hasFreshLoaderReport(nowNanos)) {
			return Math.max(this.inFlight, this.loaderReportedRequests + this.inFlight - this.inFlightAtLoaderReport);
		}
		double ageNanos = Math.max(0, nowNanos - this.responseLoadNanos);
		double othersEstimate = this.othersInFlight
				* Math.exp(-Math.max(0, ageNanos - RESPONSE_LOAD_FRESH_NANOS) / RESPONSE_LOAD_DECAY_NANOS);
		return this.inFlight + othersEstimate;
	}

	/**
	 * Returns the share of recent requests that failed.
	 * @param nowNanos monotonic time
	 * @return 0 to 1
	 */
	public double failureRatio(long nowNanos) {
		return this.failureRatio * Math.exp(-Math.max(0, nowNanos - this.failuresUpdatedNanos) / DECAY_NANOS);
	}

	/**
	 * Returns how much longer than predicted the target takes.
	 * @param nowNanos monotonic time
	 * @return 1 for a target as fast as predicted
	 */
	public double slowness(long nowNanos) {
		double decayFactor = Math.exp(-Math.max(0, nowNanos - this.slownessUpdatedNanos) / DECAY_NANOS);
		return 1 + (this.slowness - 1) * decayFactor;
	}

	/**
	 * Returns for how long the target has sent nothing although it had requests.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds, 0 without requests
	 */
	public long silentNanos(long nowNanos) {
		return (this.inFlight == 0) ? 0 : Math.max(0, nowNanos - this.lastProgressNanos);
	}

	/**
	 * Returns when the newest request was sent.
	 * @return monotonic time
	 */
	public long lastSentNanos() {
		return this.lastSentNanos;
	}

	/**
	 * Returns the share of this process in the rate that the target bears while it is
	 * cold.
	 * @return the rate
	 */
	public ColdRateLimiter coldRateLimiter() {
		return this.coldRateLimiter;
	}

	/** When the first byte of an answer is expected. */
	private record ExpectedFirstByte(long sentNanos, double predictedMs) {

		double lateMs(long nowNanos) {
			return (nowNanos - this.sentNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) - this.predictedMs;
		}

	}

}
