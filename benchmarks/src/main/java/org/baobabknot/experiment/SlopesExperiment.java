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
 * Measures how bytes, CPU time and heap of one entry and one agent grow with the number
 * of peers, requests, streamed tokens, rules and changes of the rules. Peers run in one
 * process of their own; they are entries and agents with all their traffic.
 */
final class SlopesExperiment implements Subcommand {

	private static final List<Integer> PEERS = List.of(10, 50, 100, 200);

	private static final List<Integer> REQUESTS = List.of(0, 100, 200, 400);

	private static final List<Integer> STREAMS = List.of(0, 10, 20, 40);

	private static final List<Integer> RULES = List.of(10, 250, 500, 1000);

	private static final List<Double> CHANGES = List.of(0.0, 0.5, 1.0, 2.0);

	// About the ratio of the target size: 4,400 agents behind 370 entries.
	private static final int AGENTS_PER_ENTRY = 12;

	private static final int STREAM_TOKENS = 100;

	private static final String ENTRY = "entry-1";

	private static final String AGENT = "engine-1";

	private ExperimentContext context;

	private long millis;

	private long settleMillis;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "length of a measurement").withRequiredArg().ofType(Integer.class).defaultsTo(10);
		parser.accepts("settle", "seconds before it").withRequiredArg().ofType(Integer.class).defaultsTo(8);
		parser.accepts("plots", "folder for the plots").withRequiredArg();
		parser.accepts("only", "peers, requests, tokens, rules or changes").withRequiredArg();
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext running) throws Exception {
		this.context = running;
		this.millis = 1000L * (Integer) options.valueOf("seconds");
		this.settleMillis = 1000L * (Integer) options.valueOf("settle");
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "slopes").put("cores", Runtime.getRuntime().availableProcessors());
		List<String> wanted = options.has("only") ? List.of((String) options.valueOf("only"))
				: List.of("peers", "requests", "tokens", "rules", "changes");
		for (String name : wanted) {
			Series series = switch (name) {
				case "peers" -> peers();
				case "requests" -> load("requests per second", REQUESTS, 1, false);
				case "tokens" -> load("streamed tokens per second", STREAMS, STREAM_TOKENS, true);
				case "rules" -> rules();
				case "changes" -> changes();
				default -> throw new IllegalArgumentException("--only: unknown series " + name);
			};
			series.write(figures.putObject(name));
			if (options.has("plots")) {
				plots(Path.of((String) options.valueOf("plots")), name, series);
			}
			this.context.report("%s: %s", name, figures.path(name));
		}
		return new Outcome(figures, true);
	}

	private static void plots(Path folder, String name, Series series) throws IOException {
		Files.createDirectories(folder);
		Files.writeString(folder.resolve(name + "-bytes.svg"),
				series.plot("Bytes", "bytes/s", "entry_bytes_per_second", "agent_bytes_per_second").svg());
		Files.writeString(folder.resolve(name + "-cpu.svg"),
				series.plot("CPU time", "per mille of a core", "entry_core_permille", "agent_core_permille").svg());
		Files.writeString(folder.resolve(name + "-heap.svg"),
				series.plot("Live heap", "MB", "entry_live_heap_mb", "agent_live_heap_mb").svg());
	}

	private Fleet fleet(int entries, int agents) throws IOException, InterruptedException {
		Deployment.Service service = new Deployment.Service("engine", true, agents, 64, 512, 0, 1);
		Deployment single = SingleTarget.deployment(service);
		Deployment deployment = new Deployment("slopes", single.domains(), entries, List.of(service), single.link(),
				single.machineBytesPerSecond(), single.originBytesPerSecond(), single.model(), single.workspaces());
		Fleet fleet = Fleet.start(this.context, deployment,
				FleetOptions.small().withSize(1, 128).withOptimizer().withHostedPeers());
		SingleTarget.open(fleet, this.context);
		return fleet;
	}

	private void measure(Fleet fleet, Series series, double x, Runnable load) throws IOException, InterruptedException {
		LaunchedProcess entry = fleet.process(ENTRY);
		LaunchedProcess agent = fleet.process(AGENT);
		ProcessUsage entryBefore = ProcessUsage.of(entry);
		ProcessUsage agentBefore = ProcessUsage.of(agent);
		load.run();
		ProcessUsage entryAfter = ProcessUsage.of(entry);
		ProcessUsage agentAfter = ProcessUsage.of(agent);
		write(series, x, "entry", entryBefore, entryAfter, ProcessUsage.liveHeapBytes(entry));
		write(series, x, "agent", agentBefore, agentAfter, ProcessUsage.liveHeapBytes(agent));
		this.context.report("measured at %s", x);
	}

	private static void write(Series series, double x, String role, ProcessUsage before, ProcessUsage after,
			long heap) {
		series.add(x, role + "_bytes_per_second", after.ioBytesPerSecondSince(before));
		series.add(x, role + "_core_permille", after.coresSince(before) * 1000);
		series.add(x, role + "_live_heap_mb", heap / 1e6);
		series.add(x, role + "_resident_mb", after.residentBytes() / 1e6);
	}

	private Series peers() throws IOException, InterruptedException {
		Series series = new Series("peers");
		for (int peers : PEERS) {
			int entries = Math.max(1, peers / (AGENTS_PER_ENTRY + 1));
			Fleet fleet = fleet(entries + 1, peers - entries + 1);
			TimeUnit.MILLISECONDS.sleep(this.settleMillis);
			measure(fleet, series, peers, () -> sleep(this.millis));
			fleet.stop();
		}
		return series;
	}

	private Series load(String variable, List<Integer> rates, int tokens, boolean stream)
			throws IOException, InterruptedException {
		Series series = new Series(variable);
		Fleet fleet = fleet(1, 1);
		Workload workload = new Workload("slopes", List.of("one"), fleet.digests(), new Random(5));
		Supplier<LoadRequest> source = workload.completions("engine", tokens, stream ? 1 : 0);
		try (HttpCaller caller = new HttpCaller(2, 30_000)) {
			EntryChooser entry = EntryChooser.only(fleet.callerAddress(ENTRY));
			new LoadGenerator(caller, entry, new LoadReport()).closedLoop(16, this.settleMillis, source);
			for (int rate : rates) {
				measure(fleet, series, (double) rate * tokens, () -> {
					if (rate == 0) {
						sleep(this.millis);
						return;
					}
					new LoadGenerator(caller, entry, new LoadReport()).openLoop(rate, this.millis, new Random(6),
							source);
				});
			}
		}
		fleet.stop();
		return series;
	}

	private Series rules() throws IOException, InterruptedException {
		Series series = new Series("rules");
		Fleet fleet = fleet(1, 1);
		for (int count : RULES) {
			Path file = this.context.launcher().writeText("rules.txt", text(fleet, count, ""));
			fleet.tool().run("apply", file.toString(), "--wait").orFail();
			TimeUnit.MILLISECONDS.sleep(this.settleMillis / 2);
			measure(fleet, series, count, () -> sleep(this.millis));
		}
		fleet.stop();
		return series;
	}

	private Series changes() throws IOException, InterruptedException {
		Series series = new Series("changes of the rules per second");
		Fleet fleet = fleet(2, 10);
		long[] revision = { 1 };
		for (double rate : CHANGES) {
			measure(fleet, series, rate, () -> change(fleet, rate, revision));
		}
		fleet.stop();
		return series;
	}

	private void change(Fleet fleet, double rate, long[] revision) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.millis);
		while (rate > 0 && System.nanoTime() - end < 0) {
			ObjectNode value = JsonNodeFactory.instance.objectNode()
				.put("revision", revision[0] + 1)
				.put("change_id", "slopes-" + (revision[0] + 1))
				.put("who", "experiment")
				.put("when", "2026-01-01T00:00:00Z")
				.put("text", text(fleet, 50, String.valueOf(revision[0])));
			try {
				revision[0] = fleet.writeToStore("baobabknot/rules", revision[0], value);
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
			LockSupport.parkNanos((long) (TimeUnit.SECONDS.toNanos(1) / rate));
		}
		sleep(TimeUnit.NANOSECONDS.toMillis(Math.max(0, end - System.nanoTime())));
	}

	private static String text(Fleet fleet, int rules, String reason) {
		List<String> lines = new ArrayList<>();
		lines.add("model engine " + Fleet.FIRST_VERSION + " sha256:" + fleet.manifestDigest(Fleet.FIRST_VERSION)
				+ "  # model team: release");
		lines.add("workspace one engine  # experiment: measured load " + reason);
		for (int i = 2; i < rules; i++) {
			lines.add("workspace customer-" + i + " engine share=2 priority=normal  # customer service: contract " + i);
		}
		return String.join("\n", lines) + "\n";
	}

	private static void sleep(long duration) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(duration));
	}

}
