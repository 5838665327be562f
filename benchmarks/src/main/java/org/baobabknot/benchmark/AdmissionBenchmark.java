package org.baobabknot.benchmark;

import java.util.concurrent.TimeUnit;

import org.baobabknot.admission.AdmissionDecision;
import org.baobabknot.admission.FairQueue;
import org.baobabknot.admission.LimiterSettings;
import org.baobabknot.admission.OfferResult;
import org.baobabknot.admission.PollResult;
import org.baobabknot.admission.QueuePriority;
import org.baobabknot.admission.QueueSettings;
import org.baobabknot.admission.QueuedRequest;
import org.baobabknot.admission.RequestObservation;
import org.baobabknot.admission.TargetLimiter;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of admission and completion of one request.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class AdmissionBenchmark {

	private static final int WORKSPACES = 10;

	private final TargetLimiter limiter = new TargetLimiter(LimiterSettings.withoutStatusReports(2, 64));

	private final FairQueue<Integer> queue = new FairQueue<>(new QueueSettings(1024, 512));

	private long now;

	/**
	 * Fills the queue, so that each offered request competes with other workspaces.
	 */
	public AdmissionBenchmark() {
		for (int i = 0; i < WORKSPACES * 20; i++) {
			this.queue.offer(newQueuedRequest(i));
		}
	}

	/**
	 * Starts and ends one request.
	 * @return the decision
	 */
	@Benchmark
	public AdmissionDecision limiterStartAndFinish() {
		this.now += 1_000_000;
		AdmissionDecision decision = this.limiter.tryStart(this.now);
		if (decision instanceof AdmissionDecision.Admitted admitted) {
			this.limiter.finish(RequestObservation.healthy(admitted, 1_000_000), this.now);
		}
		return decision;
	}

	/**
	 * Adds one request to a queue with 200 requests of 10 workspaces and removes one.
	 * @return the request removed
	 */
	@Benchmark
	public PollResult<Integer> queueOfferAndPoll() {
		this.now++;
		OfferResult<Integer> offer = this.queue.offer(newQueuedRequest((int) this.now));
		if (offer instanceof OfferResult.Refused) {
			throw new IllegalStateException("the queue must not fill up");
		}
		return this.queue.poll(0);
	}

	private static QueuedRequest<Integer> newQueuedRequest(int number) {
		return new QueuedRequest<>("workspace-" + Math.floorMod(number, WORKSPACES), QueuePriority.NORMAL, 1,
				Long.MAX_VALUE, number);
	}

}
