package org.baobabknot.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.baobabknot.limit.PermitHolder;

/**
 * Load and health of one target as this process estimates them, from its own requests,
 * from the load reported with responses and from the reports of the target's loader.
 * Confined to one thread.
 */
public final class TargetLoad {

	/** Weight of the newest result in the moving averages. */
	private static final double NEWEST_WEIGHT = 0.2;

	/**
	 * Time in which the averages of lag, failures and slowness decay to 1/e without new
	 * results.
	 */
	private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** Time for which a target is avoided the first time. */
	private static final long MIN_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Number of consecutive avoidances after which the time is no longer doubled. */
	private static final int MAX_AVOIDANCES = 4;

	/**
	 * Time for which a loader report is used. Loaders send one at least once a second.
	 */
	private static final long MAX_LOADER_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** Time for which the load reported with a response is used without decay. */
	private static final double RESPONSE_LOAD_FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time in which the load reported with a response decays to 1/e afterwards. */
	private static final double RESPONSE_LOAD_DECAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time without a loader report after which the target counts as lagging. Loaders send
	 * one at least every 0.8 s.
	 */
	private static final double MAX_LOADER_REPORT_INTERVAL_MS = 1_000;

	/**
	 * Time without a loader report after which the loader is considered gone, which does
	 * not indicate a fault of the target.
	 */
	private static final double LOADER_TIMEOUT_MS = 4_000;

	/** Time for which a target that refused a connection gets no requests. */
	private static final long REFUSED_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final ColdRateLimiter coldRateLimiter = new ColdRateLimiter();

	private final PermitHolder permits = new PermitHolder();

	private final StatedAvailability availability;

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

	private boolean connectionsRefused;

	private long refusedNanos;

	private long version;

	/**
	 * Creates the state of a target that has stated nothing.
	 */
	public TargetLoad() {
		this(new StatedAvailability());
	}

	/**
	 * Creates the state of a target.
	 * @param availability what this start of the target has stated before
	 */
	public TargetLoad(StatedAvailability availability) {
		this.availability = availability;
	}

	/**
	 * Returns what the target has stated about itself.
	 * @return its statements
	 */
	public StatedAvailability availability() {
		return this.availability;
	}

	/**
	 * Returns the permits of this process for a target that states a limit.
	 * @return the permits
	 */
	public PermitHolder permits() {
		return this.permits;
	}

	/**
	 * Returns the time until this process may send a request without exceeding the limit
	 * that the target states.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 without a limit
	 */
	public double permitWaitMs(long nowNanos) {
		return (this.availability.limit().limited()) ? this.permits.waitMs(nowNanos) : 0;
	}

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
	 * Records that the first byte of a response is expected.
	 * @param request the request, as passed to {@link #recordFirstByte} or
	 * {@link #recordDropped} later
	 * @param predictedMs predicted time to the first byte, in ms
	 * @param nowNanos monotonic time
	 */
	public void expectFirstByte(Object request, double predictedMs, long nowNanos) {
		this.awaitingFirstByte.put(request, new ExpectedFirstByte(nowNanos, predictedMs));
	}

	/**
	 * Records the first byte of a response.
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
	 * Removes a request whose response is no longer expected.
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
	 * Returns by how much responses of the target begin later than predicted, independent
	 * of the size of the requests, because its link or the target is slow. A request in
	 * flight without a first byte counts with its waiting time so far, so that a lag is
	 * detected before the first late response.
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
	 * Returns by how much unconfirmed requests of other processes are late.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 without a recent loader report
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
	 * Returns the number of unconfirmed requests of this process. A request is
	 * unconfirmed until the response to it or to a later request begins.
	 * @return number of requests
	 */
	public int unconfirmed() {
		return (int) this.awaitingFirstByte.values().stream().filter(this::unconfirmed).count();
	}

	/**
	 * Returns by how much the oldest unconfirmed request is later than predicted.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 without unconfirmed requests
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
	 * Records that bytes were received from the target.
	 * @param nowNanos monotonic time
	 */
	public void recordProgress(long nowNanos) {
		this.lastProgressNanos = nowNanos;
	}

	/**
	 * Records the load that the target reported with a response.
	 * @param requests requests running or queued at the target, including the one of the
	 * response
	 * @param nowNanos monotonic time
	 */
	public void recordResponseLoad(int requests, long nowNanos) {
		this.othersInFlight = Math.max(0, requests - this.inFlight);
		this.responseLoadNanos = nowNanos;
	}

	/**
	 * Records a report of the target's loader. While it is recent it is used instead of
	 * the load reported with responses.
	 * @param requests requests running or queued at the target
	 * @param accepts whether the target starts new requests, false while it loads weights
	 * @param linkDelayMs time for which bytes are queued at the link of the target's
	 * instance, in ms
	 * @param othersLateMs by how much unconfirmed requests of other processes are late
	 * there, in ms
	 * @param nowNanos monotonic time
	 */
	public void loaderReportedRequests(int requests, boolean accepts, double linkDelayMs, double othersLateMs,
			long nowNanos) {
		this.loaderReportedRequests = requests;
		this.linkDelayMs = linkDelayMs;
		this.othersLateMs = othersLateMs;
		// Requests still on the link are not included in the report.
		this.inFlightAtLoaderReport = Math.min(this.inFlight, requests);
		this.loaderReportNanos = nowNanos;
		this.hasLoaderReport = true;
		this.notAccepting = !accepts;
	}

	/**
	 * Returns for how long bytes are queued at the link of the target's instance, as
	 * measured by its loader. A request sent over a saturated link can't be withdrawn.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 without a recent loader report
	 */
	public double linkDelayMs(long nowNanos) {
		return (hasFreshLoaderReport(nowNanos)) ? this.linkDelayMs : 0;
	}

	/**
	 * Returns whether the target was reported to start no new requests, so that any other
	 * target is preferred.
	 * @param nowNanos monotonic time
	 * @return false without a recent loader report
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
	 * Records the measured time to the first byte relative to the predicted time.
	 * @param ratio measured time divided by the predicted time
	 * @param nowNanos monotonic time
	 */
	public void recordSlowness(double ratio, long nowNanos) {
		this.slowness = slowness(nowNanos) * (1 - NEWEST_WEIGHT) + Math.min(10, ratio) * NEWEST_WEIGHT;
		this.slownessUpdatedNanos = nowNanos;
	}

	/**
	 * Avoids the target after it was silent or refused connections, for twice as long
	 * each time until a request succeeds. A request sent over a stalled link may arrive
	 * after its caller has left.
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
	 * Returns whether the target is avoided, so that any other target is preferred.
	 * @param nowNanos monotonic time
	 * @return whether the target is avoided
	 */
	public boolean avoided(long nowNanos) {
		return this.avoided && nowNanos - this.avoidedUntilNanos < 0;
	}

	/**
	 * Records that the target refused a connection, so that nothing runs at its address.
	 * It gets no requests for a short time, after which the next one finds out.
	 * @param nowNanos monotonic time
	 */
	public void recordConnectionRefused(long nowNanos) {
		this.connectionsRefused = true;
		this.refusedNanos = nowNanos;
	}

	/**
	 * Returns whether the target refused a connection recently.
	 * @param nowNanos monotonic time
	 * @return whether requests to it would fail
	 */
	public boolean refusesConnections(long nowNanos) {
		return this.connectionsRefused && nowNanos - this.refusedNanos < REFUSED_NANOS;
	}

	/**
	 * Records the version of the weights that the target reported with a response.
	 * @param version the version
	 */
	public void version(long version) {
		this.version = Math.max(this.version, version);
	}

	/**
	 * Returns the newest version of the weights that the target reported with a response.
	 * @return the version, 0 if none was reported
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the number of requests of this process in flight at the target.
	 * @return number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Estimates the requests of all processes at the target, running or queued.
	 * @param nowNanos monotonic time
	 * @return number of requests
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
	 * Returns the ratio of recent requests that failed, as a moving average.
	 * @param nowNanos monotonic time
	 * @return 0 to 1
	 */
	public double failureRatio(long nowNanos) {
		return this.failureRatio * Math.exp(-Math.max(0, nowNanos - this.failuresUpdatedNanos) / DECAY_NANOS);
	}

	/**
	 * Returns the measured time to the first byte relative to the predicted time, as a
	 * moving average.
	 * @param nowNanos monotonic time
	 * @return 1 for a target as fast as predicted, more for a slower one
	 */
	public double slowness(long nowNanos) {
		double decayFactor = Math.exp(-Math.max(0, nowNanos - this.slownessUpdatedNanos) / DECAY_NANOS);
		return 1 + (this.slowness - 1) * decayFactor;
	}

	/**
	 * Returns for how long the target has sent no bytes although requests were in flight.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds, 0 without requests
	 */
	public long silentNanos(long nowNanos) {
		return (this.inFlight == 0) ? 0 : Math.max(0, nowNanos - this.lastProgressNanos);
	}

	/**
	 * Returns the time at which the newest request was sent.
	 * @return monotonic time
	 */
	public long lastSentNanos() {
		return this.lastSentNanos;
	}

	/**
	 * Returns the limiter of requests from this process while the target is cold.
	 * @return the limiter
	 */
	public ColdRateLimiter coldRateLimiter() {
		return this.coldRateLimiter;
	}

	/** Expected first byte of a response. */
	private record ExpectedFirstByte(long sentNanos, double predictedMs) {

		double lateMs(long nowNanos) {
			return (nowNanos - this.sentNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) - this.predictedMs;
		}

	}

}
