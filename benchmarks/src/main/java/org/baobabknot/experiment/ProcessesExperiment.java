package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Starts idle Java processes, pauses, resumes and stops them. Checks that the launcher
 * leaves no process running and measures the startup time on this machine.
 */
final class ProcessesExperiment implements Subcommand {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("count", "number of processes").withRequiredArg().ofType(Integer.class).defaultsTo(3);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		int count = (Integer) options.valueOf("count");
		long startNanos = System.nanoTime();
		List<LaunchedProcess> processes = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			processes.add(context.launcher().start("idle-" + i, IdleProcess.class.getName(), List.of(), List.of()));
		}
		for (LaunchedProcess process : processes) {
			process.signal("STOP");
			process.signal("CONT");
			context.report("%s runs as process %d", process.name(), process.pid());
		}
		long startupMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		context.launcher().stopAll();
		long aliveCount = processes.stream().filter(LaunchedProcess::isAlive).count();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("started", count).put("started_ms", startupMs).put("alive_after_stop", aliveCount);
		return new ExperimentResult(figures, aliveCount == 0);
	}

}
