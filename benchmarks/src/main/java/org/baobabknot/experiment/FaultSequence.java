package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Lets faults strike one after the other: alone, two at once, or the same one twice.
 * Every kind strikes once in a random order before one strikes again.
 */
final class FaultSequence {

	private final ExperimentContext context;

	private final FaultSite site;

	private final List<FaultKind> kinds;

	private final Deque<FaultKind> order = new ArrayDeque<>();

	private int begun;

	FaultSequence(ExperimentContext context, FaultSite site, List<FaultKind> kinds) {
		this.context = context;
		this.site = site;
		this.kinds = List.copyOf(kinds);
	}

	/**
	 * Runs the sequence.
	 * @param millis time in which faults begin
	 * @return the number of faults
	 * @throws IOException when the fleet cannot be reached
	 * @throws InterruptedException when interrupted
	 */
	int run(long millis) throws IOException, InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() - end < 0) {
			switch (this.site.next(4)) {
				case 0 -> strike(List.of(next(), next()));
				case 1 -> {
					FaultKind kind = next();
					strike(List.of(kind));
					strike(List.of(kind));
				}
				default -> strike(List.of(next()));
			}
			pause(1_000, 1_500);
		}
		return this.begun;
	}

	private FaultKind next() {
		if (this.order.isEmpty()) {
			List<FaultKind> left = new ArrayList<>(this.kinds);
			while (!left.isEmpty()) {
				this.order.add(left.remove(this.site.next(left.size())));
			}
		}
		return this.order.remove();
	}

	/**
	 * Lets faults strike together, waits a while and ends them.
	 * @param together the kinds of the faults
	 * @throws IOException when the fleet cannot be reached
	 * @throws InterruptedException when interrupted
	 */
	void strike(List<FaultKind> together) throws IOException, InterruptedException {
		List<FaultHistory.Episode> episodes = new ArrayList<>();
		List<FaultKind.InForce> inForce = new ArrayList<>();
		for (FaultKind kind : together) {
			FaultHistory.Episode episode = this.site.history().open(kind);
			FaultKind.InForce fault = kind.begin(this.site);
			episode.subjects(fault.subjects());
			this.context.report("%tT %s %s", System.currentTimeMillis(), kind, fault.subjects());
			episodes.add(episode);
			inForce.add(fault);
			this.begun++;
		}
		pause(800, 2_500);
		for (int index = 0; index < inForce.size(); index++) {
			inForce.get(index).ending().end();
			episodes.get(index).close(System.currentTimeMillis());
		}
	}

	private void pause(int least, int more) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(least + this.site.next(more));
	}

}
