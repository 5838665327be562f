package org.baobabknot.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.Subcommand;
import org.baobabknot.routing.AgentSubset;
import org.baobabknot.routing.Instance;
import org.baobabknot.rules.RulesReader;

/**
 * Measures heap per element of each table, bytes of each control message, the time to
 * read rules and the connections that the subset rule gives at growing fleet sizes.
 */
public final class TablesExperiment implements Subcommand {

	private static final int[] SIZES = { 500, 1000, 2000, 4000, 8000 };

	private static final int FAILURE_DOMAINS = 7;

	/** Agents for each entry at the target size: 4,400 engines behind 370 nodes. */
	private static final double AGENTS_PER_ENTRY = 4400.0 / 370;

	private static final int[] ENTRIES = { 14, 35, 70, 140, 370 };

	private static final int READ_ROUNDS = 20;

	/**
	 * Declares nothing: the sizes are fixed, so that runs can be compared.
	 */
	@Override
	public void declare(OptionParser parser) {
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) {
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "tables");
		ObjectNode tables = figures.putObject("bytes_per_element");
		for (Tables table : Tables.values()) {
			tables.set(table.title(), table(table, context));
		}
		ObjectNode messages = figures.putObject("message_bytes");
		for (Messages message : Messages.values()) {
			messages.put(message.title(), message.bytes());
		}
		figures.set("read_rules_us", readRules());
		figures.set("connections", connections(context));
		return new ExperimentResult(figures, true);
	}

	private static ObjectNode table(Tables table, ExperimentContext context) {
		table.build(SIZES[0]);
		List<Slope.Point> points = new ArrayList<>();
		for (int size : SIZES) {
			long cost = (table == Tables.CLAIM) ? ((byte[]) table.build(size)).length
					: HeapMeter.bytes(table::build, size);
			points.add(new Slope.Point(size, cost));
		}
		context.report("%s: %s", table.title(), points);
		return json(Slope.fit(points));
	}

	private static ObjectNode readRules() {
		RulesReader reader = new RulesReader();
		List<Slope.Point> points = new ArrayList<>();
		for (int size : SIZES) {
			String text = Tables.rulesText(size);
			long best = Long.MAX_VALUE;
			for (int round = 0; round < READ_ROUNDS; round++) {
				long start = System.nanoTime();
				reader.read(text);
				best = Math.min(best, System.nanoTime() - start);
			}
			points.add(new Slope.Point(size, best / 1e3));
		}
		return json(Slope.fit(points));
	}

	private static ObjectNode connections(ExperimentContext context) {
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		for (int count : ENTRIES) {
			List<Instance> entries = nodes("entry", count);
			List<Instance> agents = nodes("agent", (int) (count * AGENTS_PER_ENTRY));
			long start = System.nanoTime();
			Set<String> chosen = new HashSet<>(AgentSubset.agentsFor(entries.get(0), entries, agents));
			long micros = (System.nanoTime() - start) / 1000;
			int ofAgent = AgentSubset.entriesFor(agents.get(0), entries).size();
			context.report("%d entries, %d agents: an entry has %d connections, an agent at least %d, chosen in %d us",
					count, agents.size(), chosen.size(), ofAgent, micros);
			result.putObject(String.valueOf(count))
				.put("agents", agents.size())
				.put("per_entry", chosen.size())
				.put("per_agent", ofAgent)
				.put("choose_us", micros);
		}
		return result;
	}

	private static List<Instance> nodes(String prefix, int count) {
		List<Instance> nodes = new ArrayList<>(count);
		for (int number = 0; number < count; number++) {
			nodes.add(new Instance(prefix + "-" + number, "domain-" + number % FAILURE_DOMAINS));
		}
		return nodes;
	}

	private static ObjectNode json(Slope slope) {
		return JsonNodeFactory.instance.objectNode()
			.put("slope", Math.round(slope.slope() * 1000) / 1000.0)
			.put("intercept", Math.round(slope.intercept()))
			.put("fit", Math.round(slope.fit() * 10_000) / 10_000.0);
	}

}
