package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabknot.weights.Digests;

/**
 * Evaluates the records that the targets of a fleet keep of the requests that they have
 * run.
 */
public final class TargetRecords {

	private final List<TargetRecord> targets;

	private TargetRecords(List<TargetRecord> targets) {
		this.targets = List.copyOf(targets);
	}

	/**
	 * Reads the records of all targets.
	 * @param fleet the fleet
	 * @return the records
	 * @throws IOException if a target does not respond
	 * @throws InterruptedException when interrupted
	 */
	public static TargetRecords read(Fleet fleet) throws IOException, InterruptedException {
		List<TargetRecord> targets = new ArrayList<>();
		for (Deployment.Instance instance : fleet.deployment().instances()) {
			if (!instance.isEntry()) {
				targets.add(new TargetRecord(instance, fleet.readRecord(instance.name())));
			}
		}
		return new TargetRecords(targets);
	}

	/**
	 * Counts the requests that the targets of a failure domain started in a period.
	 * @param domain the failure domain
	 * @param fromMs start of the period (inclusive), in milliseconds since the epoch
	 * @param toMs end of the period (exclusive), in milliseconds since the epoch
	 * @return the number of requests started
	 */
	public long startedCount(String domain, long fromMs, long toMs) {
		return startTimesMs(domain).filter((startedMs) -> startedMs >= fromMs && startedMs < toMs).count();
	}

	/**
	 * Returns when the targets of a failure domain started their last request in a
	 * period.
	 * @param domain the failure domain
	 * @param fromMs start of the period (inclusive), in milliseconds since the epoch
	 * @param toMs end of the period (exclusive), in milliseconds since the epoch
	 * @return milliseconds since the epoch, or -1 if none was started
	 */
	public long lastStartedMs(String domain, long fromMs, long toMs) {
		return startTimesMs(domain).filter((startedMs) -> startedMs >= fromMs && startedMs < toMs).max().orElse(-1);
	}

	/**
	 * Returns when the targets of a failure domain started their first request at or
	 * after a given time.
	 * @param domain the failure domain
	 * @param fromMs the time, in milliseconds since the epoch
	 * @return milliseconds since the epoch, or -1 if none was started
	 */
	public long firstStartedMs(String domain, long fromMs) {
		return startTimesMs(domain).filter((startedMs) -> startedMs >= fromMs).min().orElse(-1);
	}

	private LongStream startTimesMs(String domain) {
		return this.targets.stream()
			.filter((target) -> target.instance().domain().name().equals(domain))
			.flatMap((target) -> target.requests().stream())
			.mapToLong((request) -> request.path("at_ms").asLong());
	}

	/**
	 * Counts how often a service ran each request body.
	 * @param service the service
	 * @return the number of runs by the SHA-256 digest of the body
	 */
	public Map<String, Integer> runsByBody(String service) {
		Map<String, Integer> runs = new HashMap<>();
		for (TargetRecord target : this.targets) {
			if (target.runsService(service)) {
				target.requests()
					.forEach((request) -> runs.merge(request.path("body_digest").asText(), 1, Integer::sum));
			}
		}
		return runs;
	}

	/**
	 * Returns how often a request body was run.
	 * @param runs the number of runs as returned by {@link #runsByBody}
	 * @param body the request body
	 * @return the number of runs
	 */
	public static int runCount(Map<String, Integer> runs, byte[] body) {
		return runs.getOrDefault(Digests.of(body), 0);
	}

	/**
	 * Returns the engines that run a model version.
	 * @param service the model service
	 * @param version the version
	 * @param digest the digest of all bytes of the version
	 * @return the names of their instances
	 */
	public Set<String> enginesRunning(String service, String version, String digest) {
		return this.targets.stream()
			.filter((target) -> target.runsService(service))
			.filter((target) -> target.record().path("version").asText().equals(version)
					&& target.record().path("digest").asText().equals(digest))
			.map((target) -> target.instance().name())
			.collect(Collectors.toSet());
	}

	/**
	 * Adds up a numeric field of the records, such as {@code crashes}.
	 * @param field the name of the field
	 * @return the sum over all targets
	 */
	public long sumOf(String field) {
		return this.targets.stream().mapToLong((target) -> target.record().path(field).asLong()).sum();
	}

	private record TargetRecord(Deployment.Instance instance, JsonNode record) {

		boolean runsService(String service) {
			return this.instance.service().filter((candidate) -> candidate.name().equals(service)).isPresent();
		}

		List<JsonNode> requests() {
			List<JsonNode> requests = new ArrayList<>();
			this.record.path("requests").forEach(requests::add);
			return requests;
		}

	}

}
