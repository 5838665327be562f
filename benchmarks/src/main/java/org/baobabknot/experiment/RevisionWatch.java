package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Asks every process for the revision it has in force, several times a second.
 */
final class RevisionWatch implements AutoCloseable {

	private static final String METRIC = "baobabknot_rules_revision ";

	private static final long INTERVAL_MILLIS = 300;

	private final Fleet fleet;

	private final ExecutorService threads;

	private final List<Seen> seen = new ArrayList<>();

	private volatile boolean closed;

	RevisionWatch(Fleet fleet) {
		this.fleet = fleet;
		List<Deployment.Instance> instances = fleet.deployment().instances();
		this.threads = Executors.newFixedThreadPool(instances.size(), (task) -> {
			Thread thread = new Thread(task, "revisions");
			thread.setDaemon(true);
			return thread;
		});
		instances.forEach((instance) -> this.threads.execute(() -> watch(instance.name())));
	}

	private void watch(String instance) {
		while (!this.closed) {
			long asked = System.currentTimeMillis();
			long pid = this.fleet.process(instance).pid();
			try {
				add(new Seen(instance, pid, asked, System.currentTimeMillis(), revision(instance)));
			}
			catch (IOException ex) {
				// The process is stopped, ended or starting.
			}
			catch (InterruptedException ex) {
				return;
			}
			try {
				Thread.sleep(INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private long revision(String instance) throws IOException, InterruptedException {
		for (String line : this.fleet.metrics(instance).split("\n")) {
			if (line.startsWith(METRIC)) {
				return (long) Double.parseDouble(line.substring(METRIC.length()));
			}
		}
		throw new IOException("no metric " + METRIC);
	}

	private synchronized void add(Seen sample) {
		this.seen.add(sample);
	}

	synchronized List<Seen> seen() {
		return List.copyOf(this.seen);
	}

	@Override
	public void close() {
		this.closed = true;
		this.threads.shutdownNow();
	}

	/**
	 * A revision that a process had in force.
	 *
	 * @param instance the instance
	 * @param pid its process
	 * @param askedMillis when it was asked
	 * @param answeredMillis when it answered
	 * @param revision the revision, 0 before the first
	 */
	record Seen(String instance, long pid, long askedMillis, long answeredMillis, long revision) {

	}

}
