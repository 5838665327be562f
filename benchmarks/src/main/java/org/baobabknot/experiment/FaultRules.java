package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Changes the rules of the fleet and records when each change was accepted.
 */
final class FaultRules {

	private static final String TOOL_MAIN = "org.baobabknot.command.Baobabknotctl";

	private static final int MAX_ATTEMPTS = 4;

	private static final long RETRY_DELAY_MS = 700;

	private static final long TOOL_TIMEOUT_MS = 60_000;

	private final ExperimentContext context;

	private final Fleet fleet;

	private final RulesText rulesText;

	private final List<Accepted> acceptedChanges = new ArrayList<>();

	private final Map<String, Long> outSince = new TreeMap<>();

	private final List<Out> outOfServicePeriods = new ArrayList<>();

	private int modelCount = 1;

	private int fileCount;

	private long raceCount;

	private long doubleAcceptances;

	FaultRules(ExperimentContext context, Fleet fleet) {
		this.context = context;
		this.fleet = fleet;
		this.rulesText = new RulesText(fleet.deployment()).allowedOut(1)
			.model(Fleet.FIRST_VERSION, fleet.manifestDigest(Fleet.FIRST_VERSION));
	}

	/**
	 * Applies the rules and retries attempts that fail.
	 * @return whether they were applied
	 * @throws InterruptedException when interrupted
	 */
	synchronized boolean apply() throws InterruptedException {
		for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			OperatorTool.CommandResult result = this.fleet.tool().run("apply", writeRules(this.rulesText.text()));
			if (result.exitStatus() == 0) {
				recordIfAccepted(result.json());
				return true;
			}
			this.context.report("rules: attempt %d ended with status %d: %s", attempt, result.exitStatus(),
					result.json());
			TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
		}
		return false;
	}

	private String writeRules(String content) {
		this.fileCount++;
		return this.context.launcher().writeText("rules-" + this.fileCount + ".txt", content).toString();
	}

	private void recordIfAccepted(JsonNode json) {
		if (json.path("change").asText().equals("accepted")) {
			this.acceptedChanges
				.add(new Accepted(json.path("revision").asLong(), json.path("accepted_at_ms").asLong()));
		}
	}

	/**
	 * Publishes another version of the model and names it in the rules.
	 * @throws IOException when the origin does not respond
	 * @throws InterruptedException when interrupted
	 */
	synchronized void releaseModel() throws IOException, InterruptedException {
		this.modelCount++;
		String version = "v" + this.modelCount;
		this.fleet.publish(version, 1_000 + this.modelCount);
		this.rulesText.model(version, this.fleet.manifestDigest(version));
		apply();
	}

	/**
	 * Takes a failure domain out of service or back into service.
	 * @param domain the failure domain
	 * @param inService whether it is in service afterwards
	 * @throws InterruptedException when interrupted
	 */
	synchronized void setInService(String domain, boolean inService) throws InterruptedException {
		this.rulesText.domain(domain, inService);
		long requestedMillis = System.currentTimeMillis();
		boolean applied = apply();
		if (inService) {
			Long since = this.outSince.remove(domain);
			if (since != null) {
				this.outOfServicePeriods.add(new Out(domain, since, requestedMillis));
			}
		}
		else if (applied) {
			this.outSince.put(domain, System.currentTimeMillis());
		}
	}

	/**
	 * Runs two operator tools that change the rules at the same time.
	 * @throws InterruptedException when interrupted
	 */
	synchronized void raceOperators() throws InterruptedException {
		this.raceCount++;
		List<LaunchedProcess> tools = new ArrayList<>();
		for (String operator : List.of("a", "b")) {
			String content = this.rulesText.text() + "workspace race-" + this.raceCount + operator + " "
					+ this.fleet.deployment().modelService().name() + "  # operator " + operator + ": race\n";
			tools.add(this.context.launcher()
				.start("race-" + this.raceCount + operator, TOOL_MAIN, List.of("-Xmx96m"), List.of("apply",
						writeRules(content), "--json", "--settings", this.fleet.tool().settings().toString())));
		}
		List<Long> revisions = new ArrayList<>();
		for (LaunchedProcess tool : tools) {
			tool.awaitExit(TOOL_TIMEOUT_MS);
			JsonNode result = lastLine(tool.logText());
			recordIfAccepted(result);
			if (result.path("change").asText().equals("accepted")) {
				revisions.add(result.path("revision").asLong());
			}
		}
		if (revisions.size() == 2 && revisions.get(0).equals(revisions.get(1))) {
			this.doubleAcceptances++;
		}
		apply();
	}

	private static JsonNode lastLine(String log) {
		String stripped = log.strip();
		try {
			return new ObjectMapper().readTree(stripped.substring(stripped.lastIndexOf('\n') + 1));
		}
		catch (IOException ex) {
			return new ObjectMapper().createObjectNode();
		}
	}

	synchronized List<Accepted> acceptedChanges() {
		return List.copyOf(this.acceptedChanges);
	}

	synchronized List<Out> outOfServicePeriods() {
		return List.copyOf(this.outOfServicePeriods);
	}

	/**
	 * Returns how often two concurrent operators were both told that their change was
	 * accepted under the same revision.
	 * @return the number of races
	 */
	synchronized long doubleAcceptances() {
		return this.doubleAcceptances;
	}

	/**
	 * An accepted change.
	 *
	 * @param revision its revision
	 * @param atMillis when it was accepted, in milliseconds since the epoch
	 */
	record Accepted(long revision, long atMillis) {

	}

	/**
	 * A period in which a failure domain was out of service.
	 *
	 * @param domain the failure domain
	 * @param fromMillis when the accepted change was confirmed, in milliseconds since the
	 * epoch
	 * @param toMillis when its return was requested, in milliseconds since the epoch
	 */
	record Out(String domain, long fromMillis, long toMillis) {

	}

}
