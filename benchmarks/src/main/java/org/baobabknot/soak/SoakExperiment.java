package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.emulator.CallerExchange.End;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.FreePorts;
import org.baobabknot.experiment.Subcommand;

/**
 * Runs gateways under load while faults drawn from a seed overlap, and checks what
 * callers and targets have seen.
 */
public final class SoakExperiment implements Subcommand {

	/** Default of the longest pause between the events of a stream. */
	static final int DEFAULT_PAUSE_MS = 300;

	/** Type of a problem that the gateway reports, up to its reason. */
	private static final Pattern PROBLEM = Pattern.compile("\"type\":\"urn:baobabknot:([^\"]+)\"");

	private static final int CALLERS = 24;

	private static final int MAX_FAULT_PAUSE_MS = 900;

	/** Time after the last fault in which requests go on. */
	private static final int QUIET_MS = 3_000;

	private static final int STATUS_OK = 200;

	private static final int MAX_REPORTED = 10;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seed", "seed of the faults and the load").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("seconds", "time in which faults begin").withRequiredArg().ofType(Integer.class).defaultsTo(25);
		parser.accepts("pause", "longest pause between the events of a stream, in ms")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(DEFAULT_PAUSE_MS);
		parser.accepts("gateways", "number of gateways").withRequiredArg().ofType(Integer.class).defaultsTo(3);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		return run((Long) options.valueOf("seed"), (Integer) options.valueOf("seconds"),
				(Integer) options.valueOf("gateways"), (Integer) options.valueOf("pause"), context);
	}

	/**
	 * Runs a soak.
	 * @param seed seed of the faults and the load
	 * @param seconds time in which faults begin
	 * @param gateways number of gateways
	 * @param maxPauseMs longest pause between the events of a stream, in ms
	 * @param context launcher and progress output
	 * @return counts of faults and responses; passed if no rule was broken
	 * @throws Exception if a process did not start
	 */
	public ExperimentResult run(long seed, int seconds, int gateways, int maxPauseMs, ExperimentContext context)
			throws Exception {
		SoakHistory history = new SoakHistory();
		List<Integer> ports = FreePorts.find(1 + 3 * gateways);
		Map<SoakFault, Integer> faults = new EnumMap<>(SoakFault.class);
		try (SoakSite site = new SoakSite(context.launcher(), history, gateways, ports, seed, maxPauseMs)) {
			site.start();
			AtomicBoolean running = new AtomicBoolean(true);
			ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
			for (int number = 0; number < CALLERS; number++) {
				callers.execute(new SoakCaller(number, seed * CALLERS + number, running::get, site, history));
			}
			injectFaults(site, seed, seconds, faults);
			site.replaceCrashedEngines();
			site.calm();
			long quietNanos = System.nanoTime();
			TimeUnit.MILLISECONDS.sleep(QUIET_MS);
			running.set(false);
			callers.shutdown();
			boolean ended = callers.awaitTermination(30, TimeUnit.SECONDS);
			int stalls = site.recordStalls();
			SoakChecks checks = new SoakChecks(history);
			List<SoakViolation> violations = new ArrayList<>(checks.run());
			if (!ended) {
				violations.add(new SoakViolation("a caller still waits for a response 30 s after its last request"));
			}
			checkQuiet(history, quietNanos, violations);
			int silences = checkSilences(history, violations);
			SoakTimeline timeline = new SoakTimeline(history, context.launcher().processes());
			violations.stream().limit(MAX_REPORTED).forEach((each) -> report(each, timeline, context));
			ObjectNode figures = figures(seed, history, faults, violations).put("stalls", stalls)
				.put("silencesPlayed", silences);
			ObjectNode excused = figures.putObject("excusedCutsInStops");
			checks.excusedCuts().forEach(excused::put);
			ObjectNode early = figures.putObject("excusedEarlyEnds");
			checks.responseChecks().excused().forEach(early::put);
			ObjectNode errors = figures.putObject("errorsBesideSoundEngines");
			checks.responseChecks().errorsBesideSoundEngines().forEach(errors::put);
			return new ExperimentResult(figures, violations.isEmpty());
		}
		finally {
			context.launcher().stopAll();
		}
	}

	private static void report(SoakViolation violation, SoakTimeline timeline, ExperimentContext context) {
		context.report("violation: %s", violation.text());
		if (violation.request() != null) {
			timeline.lines(violation.request()).forEach((line) -> context.report("    %s", line));
		}
	}

	private static void injectFaults(SoakSite site, long seed, int seconds, Map<SoakFault, Integer> faults)
			throws InterruptedException {
		SplittableRandom random = new SplittableRandom(seed);
		ExecutorService injectors = Executors.newCachedThreadPool();
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < endNanos) {
			SoakFault fault = SoakFault.values()[random.nextInt(SoakFault.values().length)];
			faults.merge(fault, 1, Integer::sum);
			injectors.submit(() -> {
				fault.inject(site);
				return true;
			});
			TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_FAULT_PAUSE_MS));
			injectors.submit(() -> {
				site.replaceCrashedEngines();
				return true;
			});
		}
		injectors.shutdown();
		injectors.awaitTermination(60, TimeUnit.SECONDS);
	}

	// After the faults, sound requests are served again.
	private static void checkQuiet(SoakHistory history, long quietNanos, List<SoakViolation> violations) {
		long fromNanos = quietNanos + TimeUnit.MILLISECONDS.toNanos(QUIET_MS) / 2;
		List<SoakRequest> quiet = history.requests()
			.stream()
			.filter((request) -> request.exchange().beginNanos() > fromNanos && request.hasId()
					&& request.message().giveUpMs() == 0)
			.toList();
		long served = quiet.stream().filter((request) -> request.status() == STATUS_OK && request.complete()).count();
		if (served == 0 || served < quiet.size() / 2) {
			violations
				.add(new SoakViolation(served + " of " + quiet.size() + " requests were served after the faults"));
		}
	}

	// A soak whose silences all held nothing back has tested none of them.
	private static int checkSilences(SoakHistory history, List<SoakViolation> violations) {
		int asked = 0;
		int unplayed = 0;
		for (EmulatedEngine engine : history.engines()) {
			asked += engine.silences().size();
			unplayed += engine.unplayedSilences().size();
		}
		if (asked > 0 && unplayed == asked) {
			violations.add(new SoakViolation("none of " + asked + " silences of engines held anything back"));
		}
		return asked - unplayed;
	}

	private static ObjectNode figures(long seed, SoakHistory history, Map<SoakFault, Integer> faults,
			List<SoakViolation> violations) {
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("seed", seed).put("violations", violations.size()).put("requests", history.requests().size());
		Map<String, Integer> statuses = new TreeMap<>();
		history.requests().forEach((request) -> statuses.merge(outcome(request), 1, Integer::sum));
		ObjectNode outcomes = figures.putObject("outcomes");
		statuses.forEach(outcomes::put);
		Map<String, Integer> reasons = new TreeMap<>();
		history.requests().forEach((request) -> {
			Matcher matcher = PROBLEM.matcher(request.exchange().body());
			if (matcher.find()) {
				reasons.merge(matcher.group(1), 1, Integer::sum);
			}
		});
		ObjectNode errors = figures.putObject("errorsOfGateways");
		reasons.forEach(errors::put);
		ObjectNode injected = figures.putObject("faults");
		faults.forEach((fault, count) -> injected.put(fault.name(), count));
		figures.put("crashesUnderAPart",
				history.engines()
					.stream()
					.flatMap((engine) -> engine.events().stream())
					.filter((event) -> event.kind() == EmulatedEngine.EventKind.CRASHED)
					.count());
		return figures;
	}

	private static String outcome(SoakRequest request) {
		if (request.exchange().end() == End.GAVE_UP) {
			return "gave-up";
		}
		return (request.status() == STATUS_OK && !request.complete()) ? "broken-off"
				: (request.status() == 0) ? "no-response" : Integer.toString(request.status());
	}

}
