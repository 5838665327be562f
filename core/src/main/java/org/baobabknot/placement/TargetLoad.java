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
	private static final double NEWEST = 0.2;

	/** Time in which an average of failures fades to 1/e without new results. */
	private static final double FADE_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** Time for which a target is avoided at first. */
	private static final long FIRST_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Times that this time is doubled at most, less one. */
	private static final int MOST_DOUBLINGS = 4;

	/** Time for which an observation counts; it is renewed at least once a second. */
	private static final long OBSERVATION_FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** Time for which a reported load is taken as it is. */
	private static final double REPORT_FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time in which it then fades to 1/e. */
	private static final double REPORT_FADE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time without a report after which its target lags: the loaders send one every 0.8 s
	 * at least.
	 */
	private static final double REPORT_DUE_MS = 1_000;

	/**
	 * Time without a report after which the process beside the target is taken for gone,
	 * which says nothing about the target.
	 */
	private static final double REPORTER_GONE_MS = 4_000;

	private static final double MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final ColdRate coldRate = new ColdRate();

	private final Map<Object, Expected> unanswered = new LinkedHashMap<>();

	private double lagMs;

	private long lagNanos;

	private int inFlight;

	private double othersInFlight;

	private long reportedNanos;

	private int observed;

	private int inFlightAtObservation;

	private long observedNanos;

	private double linkDelayMs;

	private double othersLateMs;

	private long confirmedNanos = Long.MIN_VALUE;

	private boolean everObserved;

	private boolean closed;

	private double failures;

	private long failureNanos;

	private double slowness = 1;

	private long slownessNanos;

	private long avoidedUntilNanos;

	private boolean avoided;

	private int avoidances;

	private long progressNanos;

	private long sentNanos;

	private long version;

	/**
	 * Counts a request that is sent to the target.
	 * @param nowNanos monotonic time
	 */
	public void sent(long nowNanos) {
		if (this.inFlight == 0) {
			this.progressNanos = nowNanos;
		}
		this.inFlight++;
		this.sentNanos = nowNanos;
	}

	/**
	 * Takes note of a request whose first byte is expected.
	 * @param request the request, which {@link #answered} and {@link #dropped} name again
	 * @param predictedMs time to the first byte as it was predicted, in ms
	 * @param nowNanos monotonic time
	 */
	public void expects(Object request, double predictedMs, long nowNanos) {
		this.unanswered.put(request, new Expected(nowNanos, predictedMs));
	}

	/**
	 * Takes note of the first byte of an answer.
	 * @param request the request
	 * @param nowNanos monotonic time
	 */
	public void answered(Object request, long nowNanos) {
		Expected expected = this.unanswered.remove(request);
		if (expected != null) {
			this.confirmedNanos = Math.max(this.confirmedNanos, expected.sentNanos());
			double beyond = Math.max(0, expected.lateMs(nowNanos));
			this.lagMs = faded(this.lagMs, this.lagNanos, nowNanos) * (1 - NEWEST) + beyond * NEWEST;
			this.lagNanos = nowNanos;
		}
	}

	/**
	 * Forgets a request that will not be answered.
	 * @param request the request
	 * @param nowNanos monotonic time
	 */
	public void dropped(Object request, long nowNanos) {
		Expected expected = this.unanswered.remove(request);
		if (expected != null && expected.lateMs(nowNanos) > lagMs(nowNanos)) {
			this.lagMs = expected.lateMs(nowNanos);
			this.lagNanos = nowNanos;
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
		double seen = Math.max(faded(this.lagMs, this.lagNanos, nowNanos),
				Math.max(overdueMs(nowNanos), othersLateMs(nowNanos)));
		if (this.unanswered.isEmpty()) {
			return seen;
		}
		return Math.max(seen, this.unanswered.values().iterator().next().lateMs(nowNanos));
	}

	/**
	 * Returns by how much requests of other processes are late without a sign of receipt.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if nothing is known that is fresh
	 */
	public double othersLateMs(long nowNanos) {
		return (fresh(nowNanos)) ? this.othersLateMs : 0;
	}

	private double overdueMs(long nowNanos) {
		double age = (nowNanos - this.observedNanos) / MILLISECOND;
		return (this.everObserved && age < REPORTER_GONE_MS) ? Math.max(0, age - REPORT_DUE_MS) : 0;
	}

	/**
	 * Returns the requests of this process of whose receipt there is no sign: no answer
	 * to them, nor to one that was sent later.
	 * @return their number
	 */
	public int unconfirmed() {
		return (int) this.unanswered.values().stream().filter(this::unconfirmed).count();
	}

	/**
	 * Returns by how much the first of them is later than predicted.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if there is none
	 */
	public double unconfirmedMs(long nowNanos) {
		return this.unanswered.values()
			.stream()
			.filter(this::unconfirmed)
			.findFirst()
			.map((expected) -> Math.max(0, expected.lateMs(nowNanos)))
			.orElse(0.0);
	}

	private boolean unconfirmed(Expected expected) {
		return expected.sentNanos() > this.confirmedNanos;
	}

	private static double faded(double value, long sinceNanos, long nowNanos) {
		return value * Math.exp(-Math.max(0, nowNanos - sinceNanos) / FADE_NANOS);
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
	public void progressed(long nowNanos) {
		this.progressNanos = nowNanos;
	}

	/**
	 * Takes note of the load that the target tells with an answer.
	 * @param requests requests that run or wait there, with this one
	 * @param nowNanos monotonic time
	 */
	public void reported(int requests, long nowNanos) {
		this.othersInFlight = Math.max(0, requests - this.inFlight);
		this.reportedNanos = nowNanos;
	}

	/**
	 * Takes note of the load that the process beside the target sees. It replaces what
	 * the target told with its answers as long as it is fresh.
	 * @param requests requests that run or wait at the target
	 * @param accepts whether the target starts new requests, false while it loads weights
	 * @param delayMs time for which bytes wait at the link of the target's machine, in ms
	 * @param lateMs by how much requests of other processes are late there without a sign
	 * of receipt, in ms
	 * @param nowNanos monotonic time
	 */
	public void observed(int requests, boolean accepts, double delayMs, double lateMs, long nowNanos) {
		this.observed = requests;
		this.linkDelayMs = delayMs;
		this.othersLateMs = lateMs;
		// What is on its way is not seen there.
		this.inFlightAtObservation = Math.min(this.inFlight, requests);
		this.observedNanos = nowNanos;
		this.everObserved = true;
		this.closed = !accepts;
	}

	/**
	 * Returns for how long bytes wait at the link of the target's machine, as the process
	 * beside it measures. What is sent over a link that is filled can't be taken back.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if nothing is known that is fresh
	 */
	public double linkDelayMs(long nowNanos) {
		return (fresh(nowNanos)) ? this.linkDelayMs : 0;
	}

	/**
	 * Tells whether the target is known to start no new requests.
	 * @param nowNanos monotonic time
	 * @return whether to prefer any other target
	 */
	public boolean closed(long nowNanos) {
		return this.closed && fresh(nowNanos);
	}

	private boolean fresh(long nowNanos) {
		return this.everObserved && nowNanos - this.observedNanos < OBSERVATION_FRESH_NANOS;
	}

	/**
	 * Counts a request that the target served or refused properly.
	 * @param nowNanos monotonic time
	 */
	public void succeeded(long nowNanos) {
		this.failures = failures(nowNanos) * (1 - NEWEST);
		this.failureNanos = nowNanos;
		this.avoided = false;
		this.avoidances = 0;
	}

	/**
	 * Counts a request that failed at the target.
	 * @param nowNanos monotonic time
	 */
	public void failed(long nowNanos) {
		this.failures = failures(nowNanos) * (1 - NEWEST) + NEWEST;
		this.failureNanos = nowNanos;
	}

	/**
	 * Takes note of the time to the first byte compared with what was predicted.
	 * @param ratio measured time divided by the predicted time
	 * @param nowNanos monotonic time
	 */
	public void answeredIn(double ratio, long nowNanos) {
		this.slowness = slowness(nowNanos) * (1 - NEWEST) + Math.min(10, ratio) * NEWEST;
		this.slownessNanos = nowNanos;
	}

	/**
	 * Keeps requests away from the target after it was silent or refused connections,
	 * each time for longer until it serves again: what is sent over a link that is stuck
	 * may arrive after its caller has left.
	 * @param nowNanos monotonic time
	 */
	public void avoid(long nowNanos) {
		if (!avoided(nowNanos)) {
			this.avoidances = Math.min(MOST_DOUBLINGS, this.avoidances + 1);
		}
		this.avoidedUntilNanos = nowNanos + (FIRST_AVOIDANCE_NANOS << (this.avoidances - 1));
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
	public double total(long nowNanos) {
		if (fresh(nowNanos)) {
			return Math.max(this.inFlight, this.observed + this.inFlight - this.inFlightAtObservation);
		}
		double age = Math.max(0, nowNanos - this.reportedNanos);
		double reported = this.othersInFlight * Math.exp(-Math.max(0, age - REPORT_FRESH_NANOS) / REPORT_FADE_NANOS);
		return this.inFlight + reported;
	}

	/**
	 * Returns the share of recent requests that failed.
	 * @param nowNanos monotonic time
	 * @return 0 to 1
	 */
	public double failures(long nowNanos) {
		return this.failures * Math.exp(-Math.max(0, nowNanos - this.failureNanos) / FADE_NANOS);
	}

	/**
	 * Returns how much longer than predicted the target takes.
	 * @param nowNanos monotonic time
	 * @return 1 for a target as fast as predicted
	 */
	public double slowness(long nowNanos) {
		double kept = Math.exp(-Math.max(0, nowNanos - this.slownessNanos) / FADE_NANOS);
		return 1 + (this.slowness - 1) * kept;
	}

	/**
	 * Returns for how long the target has sent nothing although it had requests.
	 * @param nowNanos monotonic time
	 * @return time in nanoseconds, 0 without requests
	 */
	public long silentNanos(long nowNanos) {
		return (this.inFlight == 0) ? 0 : Math.max(0, nowNanos - this.progressNanos);
	}

	/**
	 * Returns when the newest request was sent.
	 * @return monotonic time
	 */
	public long sentNanos() {
		return this.sentNanos;
	}

	/**
	 * Returns the share of this process in the rate that the target bears while it is
	 * cold.
	 * @return the rate
	 */
	public ColdRate coldRate() {
		return this.coldRate;
	}

	/** When the first byte of an answer is expected. */
	private record Expected(long sentNanos, double predictedMs) {

		double lateMs(long nowNanos) {
			return (nowNanos - this.sentNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) - this.predictedMs;
		}

	}

}
