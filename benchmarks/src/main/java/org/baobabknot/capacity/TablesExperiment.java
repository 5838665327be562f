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
 * Measures the heap per element of each table, the bytes of each control message, the
 * time to read rules, and the connections that the subset rule yields at growing fleet
 * sizes.
 */
public final class TablesExperiment implements Subcommand {

	private static final int[] TABLE_SIZES = { 500, 1000, 2000, 4000, 8000 };

	private static final int FAILURE_DOMAINS = 7;

	/** Agents per entry at the target size: 4,400 engines behind 370 entries. */
	private static final double AGENTS_PER_ENTRY = 4400.0 / 370;

	private static final int[] ENTRY_COUNTS = { 14, 35, 70, 140, 370 };

	private static final int READ_ROUNDS = 20;

	/**
	 * Declares no options: the sizes are fixed, so that runs can be compared.
	 */
	@Override
	public void declare(OptionParser parser) {
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) {
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "tables");
		ObjectNode tables = figures.putObject("bytes_per_element");
		for (MeasuredTable table : MeasuredTable.values()) {
			tables.set(table.jsonName(), measureTable(table, context));
		}
		ObjectNode messages = figures.putObject("message_bytes");
		for (ControlMessage message : ControlMessage.values()) {
			messages.put(message.jsonName(), message.encodedBytes());
		}
		figures.set("read_rules_us", measureRulesReading());
		figures.set("connections", countConnections(context));
		return new ExperimentResult(figures, true);
	}

	private static ObjectNode measureTable(MeasuredTable table, ExperimentContext context) {
		table.build(TABLE_SIZES[0]);
		List<LeastSquaresLine.Point> points = new ArrayList<>();
		for (int size : TABLE_SIZES) {
			long cost = (table == MeasuredTable.CLAIM) ? ((byte[]) table.build(size)).length
					: HeapMeter.retainedBytes(table::build, size);
			points.add(new LeastSquaresLine.Point(size, cost));
		}
		context.report("%s: %s", table.jsonName(), points);
		return toJson(LeastSquaresLine.fit(points));
	}

	private static ObjectNode measureRulesReading() {
		RulesReader reader = new RulesReader();
		List<LeastSquaresLine.Point> points = new ArrayList<>();
		for (int size : TABLE_SIZES) {
			String text = MeasuredTable.rulesText(size);
			long minNanos = Long.MAX_VALUE;
			for (int round = 0; round < READ_ROUNDS; round++) {
				long start = System.nanoTime();
				reader.read(text);
				minNanos = Math.min(minNanos, System.nanoTime() - start);
			}
			points.add(new LeastSquaresLine.Point(size, minNanos / 1e3));
		}
		return toJson(LeastSquaresLine.fit(points));
	}

	private static ObjectNode countConnections(ExperimentContext context) {
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		for (int count : ENTRY_COUNTS) {
			List<Instance> entries = instances("entry", count);
			List<Instance> agents = instances("agent", (int) (count * AGENTS_PER_ENTRY));
			long start = System.nanoTime();
			Set<String> connectionsOfEntry = new HashSet<>(AgentSubset.agentsFor(entries.get(0), entries, agents));
			long micros = (System.nanoTime() - start) / 1000;
			int connectionsOfAgent = AgentSubset.entriesFor(agents.get(0), entries).size();
			context.report("%d entries, %d agents: an entry has %d connections, an agent at least %d, chosen in %d us",
					count, agents.size(), connectionsOfEntry.size(), connectionsOfAgent, micros);
			result.putObject(String.valueOf(count))
				.put("agents", agents.size())
				.put("per_entry", connectionsOfEntry.size())
				.put("per_agent", connectionsOfAgent)
				.put("choose_us", micros);
		}
		return result;
	}

	private static List<Instance> instances(String prefix, int count) {
		List<Instance> instances = new ArrayList<>(count);
		for (int number = 0; number < count; number++) {
			instances.add(new Instance(prefix + "-" + number, "domain-" + number % FAILURE_DOMAINS));
		}
		return instances;
	}

	private static ObjectNode toJson(LeastSquaresLine slope) {
		return JsonNodeFactory.instance.objectNode()
			.put("slope", Math.round(slope.slope() * 1000) / 1000.0)
			.put("intercept", Math.round(slope.intercept()))
			.put("fit", Math.round(slope.fit() * 10_000) / 10_000.0);
	}

}
