package org.baobabknot.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import org.baobabknot.experiment.Deployment;
import org.baobabknot.experiment.Fleet;
import org.baobabknot.experiment.TargetRecords;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.OrderCaller;
import org.baobabknot.load.ReadinessBalancer;
import org.baobabknot.load.Workload;

/**
 * Callers in the background: completions at a rate, half of them streamed, and orders,
 * half of them with an idempotency key.
 */
final class Callers implements AutoCloseable {

	private static final double COMPLETIONS_PER_SECOND = 60;

	private static final double ORDERS_PER_SECOND = 10;

	private static final int TOKENS = 12;

	private static final long READINESS_INTERVAL_MILLIS = 500;

	private static final long ANSWER_MILLIS = 40_000;

	private final HttpCaller caller = new HttpCaller(2, ANSWER_MILLIS);

	private final LoadReport report = new LoadReport();

	private final ReadinessBalancer balancer;

	private final LoadGenerator generator;

	private final OrderCaller orders;

	private final Deployment deployment;

	private final Thread completionLoop;

	private final Thread orderLoop;

	private volatile boolean stopped;

	Callers(Fleet fleet) {
		this.deployment = fleet.deployment();
		this.balancer = new ReadinessBalancer(this.caller, fleet.callerAddresses(), READINESS_INTERVAL_MILLIS);
		this.generator = new LoadGenerator(this.caller, this.balancer, this.report);
		this.orders = new OrderCaller(new LoadGenerator(this.caller, this.balancer, new LoadReport()));
		Workload workload = new Workload("quickstart", this.deployment.workspaces(), fleet.digests(), new Random(7));
		Supplier<LoadRequest> completions = workload.completions(this.deployment.modelService().name(), TOKENS, 0.5);
		Supplier<LoadRequest> orderSource = workload.orders(this.deployment.orderService().name(), "/orders", 0.5);
		this.completionLoop = new Thread(() -> this.generator.openLoop(COMPLETIONS_PER_SECOND,
				TimeUnit.MINUTES.toMillis(10), new Random(8), completions), "completions");
		this.orderLoop = new Thread(() -> sendOrders(orderSource), "orders");
	}

	/**
	 * Waits until the balancer finds ready entries.
	 * @param millis longest time to wait
	 * @return number of ready entries
	 */
	int awaitReady(long millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (this.balancer.readyEntries() < this.deployment.entries() && System.nanoTime() - end < 0) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
		}
		return this.balancer.readyEntries();
	}

	void start() {
		this.completionLoop.setDaemon(true);
		this.orderLoop.setDaemon(true);
		this.completionLoop.start();
		this.orderLoop.start();
	}

	private void sendOrders(Supplier<LoadRequest> source) {
		List<CompletableFuture<Void>> open = new ArrayList<>();
		while (!this.stopped) {
			open.add(this.orders.send(source.get()));
			LockSupport.parkNanos((long) (TimeUnit.SECONDS.toNanos(1) / ORDERS_PER_SECOND));
		}
		open.forEach(CompletableFuture::join);
	}

	/**
	 * Sends nothing new and waits for all answers.
	 * @throws InterruptedException when interrupted
	 */
	void stop() throws InterruptedException {
		this.stopped = true;
		this.generator.stop();
		this.completionLoop.join();
		this.orderLoop.join();
	}

	Summary.Requests requests() {
		int unknown = this.report.count(LoadOutcome.UNKNOWN);
		return new Summary.Requests(this.report.sent(), this.report.count(LoadOutcome.WHOLE),
				this.report.count(LoadOutcome.REFUSED), this.report.count(LoadOutcome.WRONG),
				this.report.count(LoadOutcome.LOST) + unknown);
	}

	Map<String, Integer> faults() {
		return this.report.faults();
	}

	/**
	 * Compares the orders with the targets' ledgers.
	 * @param records the ledgers
	 * @return the counts
	 */
	Summary.Orders orders(TargetRecords records) {
		Map<String, Integer> runs = records.runsByBody(this.deployment.orderService().name());
		int run = 0;
		int doubled = 0;
		int lost = 0;
		for (OrderCaller.Order order : this.orders.orders().values()) {
			int count = TargetRecords.runCount(runs, order.request().body());
			run += (count > 0) ? 1 : 0;
			boolean toldNotRun = order.outcome() == LoadOutcome.REFUSED;
			// A refusal of a repeated key speaks of the repetition only.
			boolean keyed = order.request().kind().equals(Workload.KEYED_ORDER);
			doubled += (count > 1 || (toldNotRun && !keyed && count > 0)) ? 1 : 0;
			boolean acknowledged = order.outcome() == LoadOutcome.WHOLE;
			lost += ((acknowledged && count == 0) || (!acknowledged && !toldNotRun)) ? 1 : 0;
		}
		return new Summary.Orders(this.orders.orders().size(), run, doubled, lost);
	}

	@Override
	public void close() {
		this.balancer.close();
		this.caller.close();
	}

}
