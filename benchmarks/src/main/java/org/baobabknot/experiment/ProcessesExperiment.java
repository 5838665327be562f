package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Starts idle Java processes, pauses and ends them. Shows that the launcher leaves
 * nothing behind and what a Java process costs on this machine.
 */
final class ProcessesExperiment implements Subcommand {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("count", "number of processes").withRequiredArg().ofType(Integer.class).defaultsTo(3);
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext context) throws Exception {
		int count = (Integer) options.valueOf("count");
		long start = System.nanoTime();
		List<LaunchedProcess> processes = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			processes.add(context.launcher().start("idle-" + i, IdleProcess.class.getName(), List.of(), List.of()));
		}
		for (LaunchedProcess process : processes) {
			process.signal("STOP");
			process.signal("CONT");
			context.report("%s runs as process %d", process.name(), process.pid());
		}
		long startedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
		context.launcher().stopAll();
		long alive = processes.stream().filter(LaunchedProcess::alive).count();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("started", count).put("started_ms", startedMillis).put("alive_after_stop", alive);
		return new Outcome(figures, alive == 0);
	}

}
