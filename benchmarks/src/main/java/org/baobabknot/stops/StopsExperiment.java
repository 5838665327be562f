package org.baobabknot.stops;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.FreePorts;
import org.baobabknot.experiment.LaunchedProcess;
import org.baobabknot.experiment.Subcommand;

/**
 * Stops gateways under load and counts what their callers get.
 */
public final class StopsExperiment implements Subcommand {

	private static final int CALLERS_PER_GATEWAY = 10;

	private static final int RESUMING_CALLERS_PER_GATEWAY = 8;

	/** Longest pause between two events of a stream that is in time. */
	private static final long PAUSE_OBJECTIVE_MS = 200;

	private static final int MAX_REPORTED = 400;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seed", "seed of the stops and the load").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("stops", "number of stops").withRequiredArg().ofType(Integer.class).defaultsTo(4);
		parser.accepts("outlasting", "callers send streams that may outlast a stop, and resume them elsewhere");
		parser.accepts("gateways", "gateways at a time").withRequiredArg().ofType(Integer.class).defaultsTo(4);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		return run((Long) options.valueOf("seed"), (Integer) options.valueOf("stops"),
				(Integer) options.valueOf("gateways"), options.has("outlasting"), context);
	}

	/**
	 * Runs stops.
	 * @param seed seed of the stops and the load
	 * @param stops number of stops
	 * @param gateways gateways at a time
	 * @param outlasting whether callers send streams that may outlast a stop
	 * @param context launcher and progress output
	 * @return what callers got; passed if nothing was lost
	 * @throws Exception if a process did not start
	 */
	public ExperimentResult run(long seed, int stops, int gateways, boolean outlasting, ExperimentContext context)
			throws Exception {
		Queue<StopRequest> requests = new ConcurrentLinkedQueue<>();
		Queue<ResumingCaller.Result> resumed = new ConcurrentLinkedQueue<>();
		Queue<StopRecord> records = new ConcurrentLinkedQueue<>();
		AtomicBoolean running = new AtomicBoolean(true);
		AtomicInteger begun = new AtomicInteger();
		Semaphore permits = new Semaphore((outlasting) ? Math.max(1, gateways / 3) : gateways);
		ExecutorService threads = Executors.newCachedThreadPool();
		try (StopSite site = new StopSite(context.launcher(), FreePorts.find(1 + 3 * gateways))) {
			List<Future<?>> stopping = new ArrayList<>();
			for (int index = 0; index < gateways; index++) {
				int gateway = index;
				int resuming = RESUMING_CALLERS_PER_GATEWAY * gateway;
				for (int caller = 0; outlasting && caller < RESUMING_CALLERS_PER_GATEWAY; caller++) {
					int number = RESUMING_CALLERS_PER_GATEWAY + resuming + caller + 0x10000;
					threads.execute(new ResumingCaller(number, site, gateways, seed * 10_000 + number, running::get,
							resumed::add));
				}
				for (int caller = 0; !outlasting && caller < CALLERS_PER_GATEWAY; caller++) {
					int number = gateway * CALLERS_PER_GATEWAY + caller;
					threads.execute(new StopCaller(number, gateway, site.port(gateway), seed * 10_000 + number,
							running::get, requests::add));
				}
				SplittableRandom random = new SplittableRandom(seed * 10_000 - 1 - gateway);
				stopping.add(threads.submit(() -> {
					LaunchedProcess process = site.start(gateway);
					while (begun.getAndIncrement() < stops) {
						StopPlan plan = StopPlan.draw(random);
						TimeUnit.MILLISECONDS.sleep(plan.loadMs());
						permits.acquire();
						records.add(site.stop(gateway, process, plan));
						process = site.start(gateway);
						permits.release();
						context.report("%d of %d stops", records.size(), stops);
					}
					return true;
				}));
			}
			for (Future<?> each : stopping) {
				each.get();
			}
			running.set(false);
			threads.shutdown();
			threads.awaitTermination(30, TimeUnit.SECONDS);
			StopTally tally = new StopTally(site.runs());
			List<StopRequest> all = List.copyOf(requests);
			records.forEach((record) -> tally.add(record, all));
			tally.lines().stream().limit(MAX_REPORTED).forEach((line) -> context.report("%s", line));
			ObjectNode figures = tally.figures().put("seed", seed);
			if (outlasting) {
				addResumed(figures, List.copyOf(resumed));
			}
			return new ExperimentResult(figures, tally.nothingLost());
		}
		finally {
			running.set(false);
			threads.shutdownNow();
		}
	}

	private static void addResumed(ObjectNode figures, List<ResumingCaller.Result> results) {
		List<ResumingCaller.Result> cut = results.stream().filter((result) -> result.cuts() > 0).toList();
		List<Long> pauses = cut.stream().map(ResumingCaller.Result::longestPauseMs).sorted().toList();
		figures.putObject("outlasting")
			.put("streams", results.size())
			.put("cut", cut.size())
			.put("cutTwice", cut.stream().filter((result) -> result.cuts() > 1).count())
			.put("wholeInTime",
					results.stream()
						.filter((result) -> result.whole() && result.longestPauseMs() <= PAUSE_OBJECTIVE_MS)
						.count())
			.put("wholeLate",
					results.stream()
						.filter((result) -> result.whole() && result.longestPauseMs() > PAUSE_OBJECTIVE_MS)
						.count())
			.put("broken", results.stream().filter((result) -> !result.whole()).count())
			.put("pauseOfCutMedianMs", (pauses.isEmpty()) ? 0 : pauses.get(pauses.size() / 2));
	}

}
