package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Injects a random sequence of faults: single ones, two at once, or one kind twice in a
 * row. Every kind is chosen once, in random order, before any is chosen again.
 */
final class FaultSequence {

	private final ExperimentContext context;

	private final FaultSite site;

	private final List<FaultKind> kinds;

	private final Deque<FaultKind> remainingKinds = new ArrayDeque<>();

	private int startedFaults;

	FaultSequence(ExperimentContext context, FaultSite site, List<FaultKind> kinds) {
		this.context = context;
		this.site = site;
		this.kinds = List.copyOf(kinds);
	}

	/**
	 * Runs the sequence.
	 * @param millis time in which faults are started, in milliseconds
	 * @return the number of faults started
	 * @throws IOException when the fleet cannot be reached
	 * @throws InterruptedException when interrupted
	 */
	int run(long millis) throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() - deadlineNanos < 0) {
			switch (this.site.nextInt(4)) {
				case 0 -> inject(List.of(nextKind(), nextKind()));
				case 1 -> {
					FaultKind kind = nextKind();
					inject(List.of(kind));
					inject(List.of(kind));
				}
				default -> inject(List.of(nextKind()));
			}
			pause(1_000, 1_500);
		}
		return this.startedFaults;
	}

	private FaultKind nextKind() {
		if (this.remainingKinds.isEmpty()) {
			List<FaultKind> unorderedKinds = new ArrayList<>(this.kinds);
			while (!unorderedKinds.isEmpty()) {
				this.remainingKinds.add(unorderedKinds.remove(this.site.nextInt(unorderedKinds.size())));
			}
		}
		return this.remainingKinds.remove();
	}

	/**
	 * Starts faults at the same time, waits for a random time and ends them.
	 * @param simultaneousKinds the kinds of the faults
	 * @throws IOException when the fleet cannot be reached
	 * @throws InterruptedException when interrupted
	 */
	void inject(List<FaultKind> simultaneousKinds) throws IOException, InterruptedException {
		List<FaultHistory.FaultPeriod> faultPeriods = new ArrayList<>();
		List<FaultKind.ActiveFault> activeFaults = new ArrayList<>();
		for (FaultKind kind : simultaneousKinds) {
			FaultHistory.FaultPeriod faultPeriod = this.site.history().recordStart(kind);
			FaultKind.ActiveFault fault = kind.begin(this.site);
			faultPeriod.subjects(fault.subjects());
			this.context.report("%tT %s %s", System.currentTimeMillis(), kind, fault.subjects());
			faultPeriods.add(faultPeriod);
			activeFaults.add(fault);
			this.startedFaults++;
		}
		pause(800, 2_500);
		for (int index = 0; index < activeFaults.size(); index++) {
			activeFaults.get(index).ender().end();
			faultPeriods.get(index).close(System.currentTimeMillis());
		}
	}

	private void pause(int minMillis, int rangeMillis) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(minMillis + this.site.nextInt(rangeMillis));
	}

}
