package org.baobabknot.burst;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabknot.experiment.Deployment;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.Fleet;
import org.baobabknot.experiment.TargetRecords;

/**
 * Monitors a burst from the records of the stand-ins: replicas from those of the engines,
 * bytes from those of the origin and the links.
 */
final class BurstMonitor {

	private static final int BAR_WIDTH = 40;

	private static final long POLL_INTERVAL_MS = 250;

	private final Fleet fleet;

	private final ExperimentContext context;

	private final List<double[]> readyOverTime = new ArrayList<>();

	BurstMonitor(Fleet fleet, ExperimentContext context) {
		this.fleet = fleet;
		this.context = context;
	}

	List<double[]> readyOverTime() {
		return this.readyOverTime;
	}

	/**
	 * Waits until all replicas run a version.
	 * @param version the version
	 * @param replicas number of replicas
	 * @param startMillis start of the burst, milliseconds since the epoch
	 * @param timeoutMillis longest wait, in milliseconds
	 * @return replicas that run the version at the end
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	int awaitVersion(String version, int replicas, long startMillis, long timeoutMillis)
			throws IOException, InterruptedException {
		String service = this.fleet.deployment().modelService().name();
		int running = 0;
		int lastReported = -1;
		while (running < replicas && System.currentTimeMillis() - startMillis < timeoutMillis) {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
			running = TargetRecords.read(this.fleet)
				.enginesRunning(service, version, String.valueOf(this.fleet.digests().get(version)))
				.size();
			double seconds = (System.currentTimeMillis() - startMillis) / 1000.0;
			this.readyOverTime.add(new double[] { seconds, running });
			if (running != lastReported) {
				lastReported = running;
				int filledWidth = BAR_WIDTH * running / replicas;
				this.context.report("[%s%s] %d/%d %.1f s", "#".repeat(filledWidth), " ".repeat(BAR_WIDTH - filledWidth),
						running, replicas, seconds);
			}
		}
		return running;
	}

	/**
	 * Reads the times at which replicas loaded a version.
	 * @param version the version
	 * @return one span for each finished load
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	List<LoadSpan> loadSpans(String version) throws IOException, InterruptedException {
		List<LoadSpan> spans = new ArrayList<>();
		for (Deployment.Instance instance : this.fleet.deployment().instances()) {
			if (instance.service().filter(Deployment.Service::engine).isEmpty()) {
				continue;
			}
			for (JsonNode span : this.fleet.readRecord(instance.name()).path("load_spans")) {
				if (span.path("version").asText().equals(version) && span.path("to_ms").asLong() > 0) {
					spans.add(new LoadSpan(instance.domain().name(), span.path("from_ms").asLong(),
							span.path("to_ms").asLong()));
				}
			}
		}
		return spans;
	}

	long originBytes() throws IOException, InterruptedException {
		return this.fleet.readRecord("origin").path("chunk_bytes").asLong();
	}

	/**
	 * Reads the bytes received by each failure domain over its links.
	 * @return bytes by failure domain
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	Map<String, Long> inboundBytes() throws IOException, InterruptedException {
		Map<String, Long> bytesByDomain = new HashMap<>();
		for (JsonNode forwarder : this.fleet.readRecord("links").path("forwarders")) {
			bytesByDomain.merge(forwarder.path("to").asText(), forwarder.path("forward_bytes").asLong(), Long::sum);
			bytesByDomain.merge(forwarder.path("from").asText(), forwarder.path("back_bytes").asLong(), Long::sum);
		}
		return bytesByDomain;
	}

}
