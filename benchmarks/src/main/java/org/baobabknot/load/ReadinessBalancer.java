package org.baobabknot.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for the platform's load balancer: round robin over the entries whose readiness
 * check succeeds. It polls {@code /readyz} periodically, so it may still choose a leaving
 * entry for up to one interval and the duration of one check.
 */
public final class ReadinessBalancer implements EntryChooser, AutoCloseable {

	private final HttpCaller caller;

	private final List<InetSocketAddress> entries;

	private final Map<InetSocketAddress, Boolean> ready = new ConcurrentHashMap<>();

	private final AtomicInteger nextIndex = new AtomicInteger();

	private final ScheduledExecutorService checkExecutor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "readiness-checks");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a balancer and starts its checks.
	 * @param caller sends the checks
	 * @param entries the caller addresses of all entries
	 * @param intervalMillis time between two checks of an entry, in milliseconds
	 */
	public ReadinessBalancer(HttpCaller caller, List<InetSocketAddress> entries, long intervalMillis) {
		this.caller = caller;
		this.entries = List.copyOf(entries);
		this.checkExecutor.scheduleAtFixedRate(this::checkEntries, 0, intervalMillis, TimeUnit.MILLISECONDS);
	}

	private void checkEntries() {
		for (InetSocketAddress entry : this.entries) {
			LoadRequest request = new LoadRequest("readyz", "readyz", "GET", "/readyz", Map.of(), new byte[0],
					ResponseCheck.NONE);
			this.caller.send(entry, request)
				.thenAccept((response) -> this.ready.put(entry, response.complete() && response.status() == 200));
		}
	}

	/**
	 * Counts the entries whose last check succeeded.
	 * @return the number of ready entries
	 */
	public int readyEntries() {
		return (int) this.entries.stream().filter(this::isReady).count();
	}

	private boolean isReady(InetSocketAddress entry) {
		return this.ready.getOrDefault(entry, false);
	}

	@Override
	public InetSocketAddress nextEntry() {
		int start = Math.floorMod(this.nextIndex.getAndIncrement(), this.entries.size());
		for (int i = 0; i < this.entries.size(); i++) {
			InetSocketAddress entry = this.entries.get((start + i) % this.entries.size());
			if (isReady(entry)) {
				return entry;
			}
		}
		return this.entries.get(start);
	}

	@Override
	public void close() {
		this.checkExecutor.shutdownNow();
	}

}
