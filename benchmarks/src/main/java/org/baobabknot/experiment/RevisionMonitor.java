package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Polls every process several times a second for the revision that it has in force.
 */
final class RevisionMonitor implements AutoCloseable {

	private static final String METRIC_PREFIX = "baobabknot_rules_revision ";

	private static final long INTERVAL_MS = 300;

	private final Fleet fleet;

	private final ExecutorService threads;

	private final List<Observation> observations = new ArrayList<>();

	private volatile boolean closed;

	RevisionMonitor(Fleet fleet) {
		this.fleet = fleet;
		List<Deployment.Instance> instances = fleet.deployment().instances();
		this.threads = Executors.newFixedThreadPool(instances.size(), (task) -> {
			Thread thread = new Thread(task, "revisions");
			thread.setDaemon(true);
			return thread;
		});
		instances.forEach((instance) -> this.threads.execute(() -> poll(instance.name())));
	}

	private void poll(String instance) {
		while (!this.closed) {
			long requestedMs = System.currentTimeMillis();
			long pid = this.fleet.process(instance).pid();
			try {
				record(new Observation(instance, pid, requestedMs, System.currentTimeMillis(), readRevision(instance)));
			}
			catch (IOException ex) {
				// The process is paused, has exited or is still starting.
			}
			catch (InterruptedException ex) {
				return;
			}
			try {
				Thread.sleep(INTERVAL_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private long readRevision(String instance) throws IOException, InterruptedException {
		for (String line : this.fleet.metrics(instance).split("\n")) {
			if (line.startsWith(METRIC_PREFIX)) {
				return (long) Double.parseDouble(line.substring(METRIC_PREFIX.length()));
			}
		}
		throw new IOException("no metric " + METRIC_PREFIX);
	}

	private synchronized void record(Observation observation) {
		this.observations.add(observation);
	}

	synchronized List<Observation> observations() {
		return List.copyOf(this.observations);
	}

	@Override
	public void close() {
		this.closed = true;
		this.threads.shutdownNow();
	}

	/**
	 * Observed revision of one process.
	 *
	 * @param instance the instance
	 * @param pid the id of its process
	 * @param requestedMs when the revision was requested, in milliseconds since the epoch
	 * @param receivedMs when the response was received, in milliseconds since the epoch
	 * @param revision the revision in force, 0 before the first
	 */
	record Observation(String instance, long pid, long requestedMs, long receivedMs, long revision) {

	}

}
