package org.baobabknot.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.EntryChooser;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.Workload;

/**
 * Measures how network bytes, CPU time and heap of one entry and one agent grow with the
 * number of peers, requests, streamed tokens, rules and rule changes. The peers are
 * complete entries and agents with all their traffic, hosted in one separate process.
 */
final class SlopesExperiment implements Subcommand {

	private static final List<Integer> PEER_COUNTS = List.of(10, 50, 100, 200);

	private static final List<Integer> REQUEST_RATES = List.of(0, 100, 200, 400);

	private static final List<Integer> STREAM_RATES = List.of(0, 10, 20, 40);

	private static final List<Integer> RULE_COUNTS = List.of(10, 250, 500, 1000);

	private static final List<Double> CHANGE_RATES = List.of(0.0, 0.5, 1.0, 2.0);

	// About the ratio at the size that the system is designed for, 4,400 agents and 370
	// entries.
	private static final int AGENTS_PER_ENTRY = 12;

	private static final int TOKENS_PER_STREAM = 100;

	private static final String ENTRY_INSTANCE = "entry-1";

	private static final String AGENT_INSTANCE = "engine-1";

	private ExperimentContext context;

	private long durationMs;

	private long settleMs;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of each measurement in seconds")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(10);
		parser.accepts("settle", "seconds to settle or warm up before measurements")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(8);
		parser.accepts("plots", "folder to write the plots to").withRequiredArg();
		parser.accepts("only", "name of the only series to measure: peers, requests, tokens, rules or changes")
			.withRequiredArg();
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext experimentContext) throws Exception {
		this.context = experimentContext;
		this.durationMs = 1000L * (Integer) options.valueOf("seconds");
		this.settleMs = 1000L * (Integer) options.valueOf("settle");
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "slopes").put("cores", Runtime.getRuntime().availableProcessors());
		List<String> seriesNames = options.has("only") ? List.of((String) options.valueOf("only"))
				: List.of("peers", "requests", "tokens", "rules", "changes");
		for (String name : seriesNames) {
			Series series = switch (name) {
				case "peers" -> measurePeers();
				case "requests" -> measureLoad("requests per second", REQUEST_RATES, 1, false);
				case "tokens" -> measureLoad("streamed tokens per second", STREAM_RATES, TOKENS_PER_STREAM, true);
				case "rules" -> measureRules();
				case "changes" -> measureChanges();
				default -> throw new IllegalArgumentException("--only: unknown series " + name);
			};
			series.writeTo(figures.putObject(name));
			if (options.has("plots")) {
				writePlots(Path.of((String) options.valueOf("plots")), name, series);
			}
			this.context.report("%s: %s", name, figures.path(name));
		}
		return new ExperimentResult(figures, true);
	}

	private static void writePlots(Path folder, String name, Series series) throws IOException {
		Files.createDirectories(folder);
		Files.writeString(folder.resolve(name + "-bytes.svg"),
				series.plot("Bytes", "bytes/s", "entry_bytes_per_second", "agent_bytes_per_second").toSvg());
		Files.writeString(folder.resolve(name + "-cpu.svg"),
				series.plot("CPU time", "per mille of a core", "entry_core_permille", "agent_core_permille").toSvg());
		Files.writeString(folder.resolve(name + "-heap.svg"),
				series.plot("Live heap", "MB", "entry_live_heap_mb", "agent_live_heap_mb").toSvg());
	}

	private Fleet startFleet(int entries, int agents) throws IOException, InterruptedException {
		Deployment.Service service = new Deployment.Service("engine", true, agents, 64, 512, 0, 1);
		Deployment single = SingleTarget.deployment(service);
		Deployment deployment = new Deployment("slopes", single.domains(), entries, List.of(service), single.link(),
				single.machineBytesPerSecond(), single.originBytesPerSecond(), single.model(), single.workspaces());
		Fleet fleet = Fleet.start(this.context, deployment,
				FleetOptions.small().withSize(1, 128).withOptimizer().withHostedPeers());
		SingleTarget.applyRules(fleet, this.context);
		return fleet;
	}

	private void measure(Fleet fleet, Series series, double x, Runnable load) throws IOException, InterruptedException {
		LaunchedProcess entry = fleet.process(ENTRY_INSTANCE);
		LaunchedProcess agent = fleet.process(AGENT_INSTANCE);
		ProcessUsage entryBefore = ProcessUsage.of(entry);
		ProcessUsage agentBefore = ProcessUsage.of(agent);
		load.run();
		ProcessUsage entryAfter = ProcessUsage.of(entry);
		ProcessUsage agentAfter = ProcessUsage.of(agent);
		addUsage(series, x, "entry", entryBefore, entryAfter, ProcessUsage.liveHeapBytes(entry));
		addUsage(series, x, "agent", agentBefore, agentAfter, ProcessUsage.liveHeapBytes(agent));
		this.context.report("measured at %s", x);
	}

	private static void addUsage(Series series, double x, String role, ProcessUsage before, ProcessUsage after,
			long liveHeapBytes) {
		series.add(x, role + "_bytes_per_second", after.ioBytesPerSecondSince(before));
		series.add(x, role + "_core_permille", after.coresSince(before) * 1000);
		series.add(x, role + "_live_heap_mb", liveHeapBytes / 1e6);
		series.add(x, role + "_resident_mb", after.residentBytes() / 1e6);
	}

	private Series measurePeers() throws IOException, InterruptedException {
		Series series = new Series("peers");
		for (int peers : PEER_COUNTS) {
			int entries = Math.max(1, peers / (AGENTS_PER_ENTRY + 1));
			Fleet fleet = startFleet(entries + 1, peers - entries + 1);
			TimeUnit.MILLISECONDS.sleep(this.settleMs);
			measure(fleet, series, peers, () -> sleep(this.durationMs));
			fleet.stop();
		}
		return series;
	}

	private Series measureLoad(String variable, List<Integer> rates, int tokens, boolean stream)
			throws IOException, InterruptedException {
		Series series = new Series(variable);
		Fleet fleet = startFleet(1, 1);
		Workload workload = new Workload("slopes", List.of("one"), fleet.digests(), new Random(5));
		Supplier<LoadRequest> source = workload.completions("engine", tokens, stream ? 1 : 0);
		try (HttpCaller caller = new HttpCaller(2, 30_000)) {
			EntryChooser entry = EntryChooser.fixed(fleet.callerAddress(ENTRY_INSTANCE));
			new LoadGenerator(caller, entry, new LoadReport()).closedLoop(16, this.settleMs, source);
			for (int rate : rates) {
				measure(fleet, series, (double) rate * tokens, () -> {
					if (rate == 0) {
						sleep(this.durationMs);
						return;
					}
					new LoadGenerator(caller, entry, new LoadReport()).openLoop(rate, this.durationMs, new Random(6),
							source);
				});
			}
		}
		fleet.stop();
		return series;
	}

	private Series measureRules() throws IOException, InterruptedException {
		Series series = new Series("rules");
		Fleet fleet = startFleet(1, 1);
		for (int count : RULE_COUNTS) {
			Path file = this.context.launcher().writeText("rules.txt", rulesText(fleet, count, ""));
			fleet.tool().run("apply", file.toString(), "--wait").jsonOrThrow();
			TimeUnit.MILLISECONDS.sleep(this.settleMs / 2);
			measure(fleet, series, count, () -> sleep(this.durationMs));
		}
		fleet.stop();
		return series;
	}

	private Series measureChanges() throws IOException, InterruptedException {
		Series series = new Series("changes of the rules per second");
		Fleet fleet = startFleet(2, 10);
		long[] revision = { 1 };
		for (double rate : CHANGE_RATES) {
			measure(fleet, series, rate, () -> changeRules(fleet, rate, revision));
		}
		fleet.stop();
		return series;
	}

	private void changeRules(Fleet fleet, double rate, long[] revision) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.durationMs);
		while (rate > 0 && System.nanoTime() - deadline < 0) {
			ObjectNode value = JsonNodeFactory.instance.objectNode()
				.put("revision", revision[0] + 1)
				.put("change_id", "slopes-" + (revision[0] + 1))
				.put("who", "experiment")
				.put("when", "2026-01-01T00:00:00Z")
				.put("text", rulesText(fleet, 50, String.valueOf(revision[0])));
			try {
				revision[0] = fleet.writeToStore("baobabknot/rules", revision[0], value);
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
			LockSupport.parkNanos((long) (TimeUnit.SECONDS.toNanos(1) / rate));
		}
		sleep(TimeUnit.NANOSECONDS.toMillis(Math.max(0, deadline - System.nanoTime())));
	}

	private static String rulesText(Fleet fleet, int rules, String reason) {
		List<String> lines = new ArrayList<>();
		lines.add("model engine " + Fleet.FIRST_VERSION + " sha256:" + fleet.manifestDigest(Fleet.FIRST_VERSION)
				+ "  # model team: release");
		lines.add("workspace one engine  # experiment: measured load " + reason);
		for (int i = 2; i < rules; i++) {
			lines.add("workspace customer-" + i + " engine share=2 priority=normal  # customer service: contract " + i);
		}
		return String.join("\n", lines) + "\n";
	}

	private static void sleep(long sleepMs) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(sleepMs));
	}

}
