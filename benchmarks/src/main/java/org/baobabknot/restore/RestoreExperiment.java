package org.baobabknot.restore;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.LinePlot;
import org.baobabknot.experiment.Subcommand;

/**
 * Takes the store away, restores it from a copy some seconds old, lets its writers write
 * again, and measures when all gateways serve what is in force, with which calls to the
 * store.
 */
public final class RestoreExperiment implements Subcommand {

	/** Time in which processes that start read more often. */
	private static final long STARTUP_MS = 8_000;

	/** Time after the return of the store that is measured. */
	private static final long MEASURED_MS = 6_000;

	private static final long SAMPLE_MS = 100;

	private static final long CHANGE_INTERVAL_MS = 1_000;

	/** Time within which a change of the configuration has to be in force. */
	private static final double CONFIGURATION_BOUND_MS = 2_000;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("gateways", "number of gateways").withRequiredArg().ofType(Integer.class).defaultsTo(12);
		parser.accepts("loaders", "number of loaders").withRequiredArg().ofType(Integer.class).defaultsTo(4);
		parser.accepts("lost-s", "age of the copy in s, without the time away")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(9);
		parser.accepts("away-s", "time for which the store is away, in s")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(2);
		parser.accepts("rewrite-ms", "time after which the writers write again, in ms")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(500);
		parser.accepts("restores", "number of restores").withRequiredArg().ofType(Integer.class).defaultsTo(3);
		parser.accepts("routes", "further routes of the configuration")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(20);
		parser.accepts("plot", "file for a plot of the last restore").withRequiredArg();
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		int gateways = (Integer) options.valueOf("gateways");
		ObjectNode figures = JsonNodeFactory.instance.objectNode().put("gateways", gateways);
		ArrayNode rows = figures.putArray("rows");
		boolean inTime = true;
		try (RestoreSite site = new RestoreSite((Integer) options.valueOf("routes"))) {
			site.start(gateways, (Integer) options.valueOf("loaders"));
			try (RestoreCallers callers = new RestoreCallers(site.callerPorts(), RestoreSite.path())) {
				TimeUnit.MILLISECONDS.sleep(STARTUP_MS);
				for (int restore = 0; restore < (Integer) options.valueOf("restores"); restore++) {
					Restore result = play(site, callers, options);
					context.report("%s", result.row());
					rows.add(result.row());
					inTime &= result.inForceMs().size() == gateways
							&& last(result.inForceMs()) <= CONFIGURATION_BOUND_MS;
					if (options.has("plot")) {
						Files.writeString(Path.of((String) options.valueOf("plot")), result.plot());
					}
				}
			}
		}
		return new ExperimentResult(figures, inTime);
	}

	private static Restore play(RestoreSite site, RestoreCallers callers, OptionSet options)
			throws InterruptedException {
		EmulatedStore.Copy copy = site.copyStore();
		for (int second = 0; second < (Integer) options.valueOf("lost-s"); second++) {
			callers.addedPath(site.writeConfiguration());
			TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MS);
		}
		site.takeStoreAway();
		TimeUnit.SECONDS.sleep((Integer) options.valueOf("away-s"));
		int callsBefore = site.storeCalls();
		int readsBefore = site.configurationReads();
		long bytesBefore = site.storeBytes();
		site.restoreStore(copy);
		long returnNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep((Integer) options.valueOf("rewrite-ms"));
		String added = site.writeConfiguration();
		site.writeTargets();
		long writtenNanos = System.nanoTime();
		callers.addedPath(added);
		List<double[]> calls = new ArrayList<>();
		double registeredMs = -1;
		double elapsedMs = 0;
		while (elapsedMs < MEASURED_MS) {
			TimeUnit.MILLISECONDS.sleep(SAMPLE_MS);
			elapsedMs = (System.nanoTime() - returnNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
			calls.add(new double[] { elapsedMs / 1_000, site.storeCalls() - callsBefore });
			if (registeredMs < 0 && site.registeredGateways() == site.callerPorts().size()) {
				registeredMs = elapsedMs;
			}
		}
		List<Double> servedMs = callers.firstServedMs(RestoreSite.path(), returnNanos);
		List<Double> inForceMs = callers.firstServedMs(added, writtenNanos);
		ObjectNode row = JsonNodeFactory.instance.objectNode()
			.put("servedMedianMs", Math.round(median(servedMs)))
			.put("servedLastMs", Math.round(last(servedMs)))
			.put("inForceMedianMs", Math.round(median(inForceMs)))
			.put("inForceLastMs", Math.round(last(inForceMs)))
			.put("inForceAt", inForceMs.size())
			.put("registeredMs", Math.round(registeredMs))
			.put("calls", site.storeCalls() - callsBefore)
			.put("configurationReads", site.configurationReads() - readsBefore)
			.put("bytes", site.storeBytes() - bytesBefore);
		ObjectNode statuses = row.putObject("statuses");
		callers.statuses(returnNanos).forEach((status, count) -> statuses.put(Integer.toString(status), count));
		return new Restore(row, servedMs, inForceMs, calls);
	}

	private static double median(List<Double> sorted) {
		return (sorted.isEmpty()) ? -1 : sorted.get(sorted.size() / 2);
	}

	private static double last(List<Double> sorted) {
		return (sorted.isEmpty()) ? -1 : sorted.get(sorted.size() - 1);
	}

	/**
	 * What one restore has shown.
	 *
	 * @param row the figures
	 * @param servedMs when each gateway served requests with keys, from the return of the
	 * store on
	 * @param inForceMs when each gateway had the new configuration in force, from its
	 * write on
	 * @param calls calls to the store over time in s
	 */
	private record Restore(ObjectNode row, List<Double> servedMs, List<Double> inForceMs, List<double[]> calls) {

		String plot() {
			return new LinePlot("After the return of the store", "seconds", "gateways; calls to the store")
				.add("gateways that serve requests with keys", steps(this.servedMs))
				.add("gateways with the configuration written again", steps(this.inForceMs))
				.add("calls to the store", this.calls)
				.toSvg();
		}

		private static List<double[]> steps(List<Double> sortedMs) {
			List<double[]> points = new ArrayList<>();
			for (int count = 0; count < sortedMs.size(); count++) {
				points.add(new double[] { sortedMs.get(count) / 1_000, count + 1 });
			}
			return points;
		}

	}

}
