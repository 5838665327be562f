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
 * What the targets of a fleet ran, by their own records.
 */
public final class TargetRecords {

	private final List<Target> targets;

	private TargetRecords(List<Target> targets) {
		this.targets = List.copyOf(targets);
	}

	/**
	 * Reads the records of all targets.
	 * @param fleet the fleet
	 * @return the records
	 * @throws IOException when a target does not answer
	 * @throws InterruptedException when interrupted
	 */
	public static TargetRecords read(Fleet fleet) throws IOException, InterruptedException {
		List<Target> targets = new ArrayList<>();
		for (Deployment.Instance instance : fleet.deployment().instances()) {
			if (!instance.isEntry()) {
				targets.add(new Target(instance, fleet.readRecord(instance.name())));
			}
		}
		return new TargetRecords(targets);
	}

	/**
	 * Counts requests that a failure domain began in a period.
	 * @param domain the failure domain
	 * @param fromMillis first moment, milliseconds since the epoch
	 * @param toMillis the moment after the last
	 * @return the number of requests that its targets began
	 */
	public long begun(String domain, long fromMillis, long toMillis) {
		return starts(domain).filter((at) -> at >= fromMillis && at < toMillis).count();
	}

	/**
	 * Returns when a failure domain began its last request of a period.
	 * @param domain the failure domain
	 * @param fromMillis first moment, milliseconds since the epoch
	 * @param toMillis the moment after the last
	 * @return milliseconds since the epoch, or -1 when it began none
	 */
	public long lastBegun(String domain, long fromMillis, long toMillis) {
		return starts(domain).filter((at) -> at >= fromMillis && at < toMillis).max().orElse(-1);
	}

	/**
	 * Returns when a failure domain began its first request after a moment.
	 * @param domain the failure domain
	 * @param fromMillis the moment, milliseconds since the epoch
	 * @return milliseconds since the epoch, or -1 when it began none
	 */
	public long firstBegun(String domain, long fromMillis) {
		return starts(domain).filter((at) -> at >= fromMillis).min().orElse(-1);
	}

	private LongStream starts(String domain) {
		return this.targets.stream()
			.filter((target) -> target.instance().domain().name().equals(domain))
			.flatMap((target) -> target.requests().stream())
			.mapToLong((request) -> request.path("at_ms").asLong());
	}

	/**
	 * Counts the runs of requests by their bodies.
	 * @param service the service
	 * @return number of runs by SHA-256 of the body
	 */
	public Map<String, Integer> runsByBody(String service) {
		Map<String, Integer> runs = new HashMap<>();
		for (Target target : this.targets) {
			if (target.isOf(service)) {
				target.requests()
					.forEach((request) -> runs.merge(request.path("body_digest").asText(), 1, Integer::sum));
			}
		}
		return runs;
	}

	/**
	 * Counts the runs of one body.
	 * @param runs as returned by {@link #runsByBody}
	 * @param body the body
	 * @return number of runs
	 */
	public static int runs(Map<String, Integer> runs, byte[] body) {
		return runs.getOrDefault(Digests.of(body), 0);
	}

	/**
	 * Returns the engines that run a version.
	 * @param service the model service
	 * @param version the version
	 * @param digest digest of its whole bytes
	 * @return names of instances
	 */
	public Set<String> running(String service, String version, String digest) {
		return this.targets.stream()
			.filter((target) -> target.isOf(service))
			.filter((target) -> target.record().path("version").asText().equals(version)
					&& target.record().path("digest").asText().equals(digest))
			.map((target) -> target.instance().name())
			.collect(Collectors.toSet());
	}

	/**
	 * Sums a number of the records, such as {@code crashes}.
	 * @param field the field
	 * @return the sum over all targets
	 */
	public long sum(String field) {
		return this.targets.stream().mapToLong((target) -> target.record().path(field).asLong()).sum();
	}

	private record Target(Deployment.Instance instance, JsonNode record) {

		boolean isOf(String service) {
			return this.instance.service().filter((own) -> own.name().equals(service)).isPresent();
		}

		List<JsonNode> requests() {
			List<JsonNode> requests = new ArrayList<>();
			this.record.path("requests").forEach(requests::add);
			return requests;
		}

	}

}
