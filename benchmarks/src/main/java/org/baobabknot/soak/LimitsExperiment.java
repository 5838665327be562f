package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.FreePorts;
import org.baobabknot.experiment.Subcommand;

/**
 * Lets some engines state a limit while callers send more, and counts what these engines
 * get from all gateways together, before and after the limit is lifted.
 */
public final class LimitsExperiment implements Subcommand {

	private static final int CALLERS = 40;

	/** Time after the first statement from which requests count. */
	private static final long SETTLING_MS = 3_000;

	private static final long LIMITED_MS = 10_000;

	private static final long LIFTED_MS = 6_000;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("gateways", "number of gateways").withRequiredArg().ofType(Integer.class).defaultsTo(12);
		parser.accepts("limit", "limits in requests per second, one after the other")
			.withRequiredArg()
			.ofType(Double.class)
			.withValuesSeparatedBy(',')
			.defaultsTo(0.5, 1.7, 20.0);
		parser.accepts("limited", "numbers of limited engines, one after the other")
			.withRequiredArg()
			.ofType(Integer.class)
			.withValuesSeparatedBy(',')
			.defaultsTo(1, 3, 6);
		parser.accepts("callers-at", "which gateways callers use: even, two or moving")
			.withRequiredArg()
			.withValuesSeparatedBy(',')
			.defaultsTo("even", "two", "moving");
		parser.accepts("seed", "seed of the site").withRequiredArg().ofType(Long.class).defaultsTo(1L);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		int gateways = (Integer) options.valueOf("gateways");
		SoakHistory history = new SoakHistory();
		ObjectNode figures = JsonNodeFactory.instance.objectNode().put("gateways", gateways);
		ArrayNode rows = figures.putArray("rows");
		boolean kept = true;
		List<Integer> ports = FreePorts.find(1 + 3 * gateways);
		try (SoakSite site = new SoakSite(context.launcher(), history, gateways, ports, (Long) options.valueOf("seed"),
				SoakExperiment.DEFAULT_PAUSE_MS)) {
			site.start();
			for (Object spread : options.valuesOf("callers-at")) {
				for (Object limited : options.valuesOf("limited")) {
					for (Object limit : options.valuesOf("limit")) {
						LimitedLoad.Spread callersAt = LimitedLoad.Spread
							.valueOf(((String) spread).toUpperCase(Locale.ROOT));
						ObjectNode row = play(site, history, callersAt, (Integer) limited, (Double) limit);
						context.report("%s", row);
						rows.add(row);
						kept &= row.path("enginesOver").asInt() == 0;
					}
				}
			}
		}
		finally {
			context.launcher().stopAll();
		}
		return new ExperimentResult(figures, kept);
	}

	private static ObjectNode play(SoakSite site, SoakHistory history, LimitedLoad.Spread spread, int limitedCount,
			double limit) throws InterruptedException {
		List<EmulatedEngine> engines = site.modelEngines();
		List<EmulatedEngine> limited = engines.subList(0, Math.min(limitedCount, engines.size()));
		List<EmulatedEngine> others = engines.subList(limited.size(), engines.size());
		long startNanos = System.nanoTime();
		try (LimitedLoad load = new LimitedLoad(site.callerPorts(), CALLERS, spread)) {
			limited.forEach((engine) -> engine.limitPerSecond = Double.toString(limit));
			TimeUnit.MILLISECONDS.sleep(SETTLING_MS);
			long fromNanos = System.nanoTime();
			TimeUnit.MILLISECONDS.sleep(LIMITED_MS);
			long liftedNanos = System.nanoTime();
			limited.forEach((engine) -> engine.limitPerSecond = "");
			TimeUnit.MILLISECONDS.sleep(SETTLING_MS);
			long usedNanos = System.nanoTime();
			TimeUnit.MILLISECONDS.sleep(LIFTED_MS);
			long endNanos = System.nanoTime();
			List<LimitChecks.Worst> worst = worst(history, limited, startNanos);
			double limitedRate = meanRate(limited, fromNanos, liftedNanos);
			ObjectNode row = JsonNodeFactory.instance.objectNode()
				.put("callersAt", spread.name().toLowerCase(Locale.ROOT))
				.put("limited", limited.size())
				.put("limit", limit)
				.put("enginesOver", worst.stream().filter(LimitChecks.Worst::exceeded).count())
				.put("mostIn4s", worst.stream().mapToInt(LimitChecks.Worst::requests).max().orElse(0))
				.put("allowed", worst.stream().mapToInt(LimitChecks.Worst::allowed).max().orElse(0))
				.put("used", rounded(limitedRate / limit))
				.put("othersPerSecond", rounded(meanRate(others, fromNanos, liftedNanos)))
				.put("liftedPerSecond", rounded(meanRate(limited, usedNanos, endNanos)))
				.put("othersThenPerSecond", rounded(meanRate(others, usedNanos, endNanos)));
			List<LimitedLoad.Outcome> outcomes = load.outcomes(fromNanos, liftedNanos);
			List<Double> refusedMs = outcomes.stream()
				.filter((outcome) -> !outcome.served())
				.map((outcome) -> outcome.durationNanos() / NANOS_PER_MS)
				.sorted()
				.toList();
			return row.put("served", outcomes.size() - refusedMs.size())
				.put("refused", refusedMs.size())
				.put("refusedMedianMs", (refusedMs.isEmpty()) ? 0 : rounded(refusedMs.get(refusedMs.size() / 2)));
		}
	}

	private static List<LimitChecks.Worst> worst(SoakHistory history, List<EmulatedEngine> engines, long fromNanos) {
		LimitChecks checks = new LimitChecks(history);
		List<LimitChecks.Worst> worst = new ArrayList<>();
		for (EmulatedEngine engine : engines) {
			checks.worst(engine.events().stream().filter((event) -> event.nanos() >= fromNanos).toList())
				.ifPresent(worst::add);
		}
		return worst;
	}

	private static double meanRate(List<EmulatedEngine> engines, long fromNanos, long toNanos) {
		double seconds = (toNanos - fromNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		return engines.stream()
			.mapToLong((
					engine) -> engine.events().stream().filter((event) -> isArrival(event, fromNanos, toNanos)).count())
			.average()
			.orElse(0) / seconds;
	}

	private static boolean isArrival(EngineEvent event, long fromNanos, long toNanos) {
		return event.kind() == EventKind.RECEIVED && event.nanos() >= fromNanos && event.nanos() < toNanos;
	}

	private static double rounded(double value) {
		return Math.round(value * 100) / 100.0;
	}

}
