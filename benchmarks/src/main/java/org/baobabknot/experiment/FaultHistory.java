package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Records the faults, departures and shutdowns of a run. Times are in milliseconds since
 * the epoch. Thread-safe.
 */
final class FaultHistory {

	private final List<FaultPeriod> faultPeriods = new ArrayList<>();

	private final List<Leaving> departures = new ArrayList<>();

	private final List<Shutdown> shutdowns = new ArrayList<>();

	synchronized FaultPeriod recordStart(FaultKind kind) {
		FaultPeriod faultPeriod = new FaultPeriod(kind, System.currentTimeMillis());
		this.faultPeriods.add(faultPeriod);
		return faultPeriod;
	}

	synchronized void add(FaultPeriod faultPeriod) {
		this.faultPeriods.add(faultPeriod);
	}

	synchronized void recordDeparture(Leaving leaving) {
		this.departures.add(leaving);
	}

	synchronized void recordShutdown(Shutdown shutdown) {
		this.shutdowns.add(shutdown);
	}

	synchronized List<FaultPeriod> faultPeriods() {
		return List.copyOf(this.faultPeriods);
	}

	synchronized List<Leaving> departures() {
		return List.copyOf(this.departures);
	}

	synchronized List<Shutdown> shutdowns() {
		return List.copyOf(this.shutdowns);
	}

	/**
	 * Returns the end of the last fault that overlaps a period.
	 * @param kinds the kinds of faults to consider
	 * @param names the instances and failure domains to consider
	 * @param fromMillis the start of the period
	 * @param toMillis the end of the period
	 * @return the end of the fault, or {@code fromMillis} when there is none
	 */
	long lastEnd(Predicate<FaultKind> kinds, Collection<String> names, long fromMillis, long toMillis) {
		long end = fromMillis;
		for (FaultPeriod faultPeriod : faultPeriods()) {
			if (kinds.test(faultPeriod.kind()) && faultPeriod.affects(names) && faultPeriod.fromMillis() <= toMillis
					&& faultPeriod.toMillis() >= fromMillis) {
				end = Math.max(end, faultPeriod.toMillis());
			}
		}
		return end;
	}

	/**
	 * Returns whether a fault overlaps a period.
	 * @param kinds the kinds of faults to consider
	 * @param names the instances and failure domains to consider
	 * @param fromMillis the start of the period
	 * @param toMillis the end of the period
	 * @return whether there is one
	 */
	boolean overlaps(Predicate<FaultKind> kinds, Collection<String> names, long fromMillis, long toMillis) {
		return faultPeriods().stream()
			.anyMatch((faultPeriod) -> kinds.test(faultPeriod.kind()) && faultPeriod.affects(names)
					&& faultPeriod.fromMillis() <= toMillis && faultPeriod.toMillis() >= fromMillis);
	}

	/**
	 * The period of one fault, from just before its start until just after its end.
	 */
	static final class FaultPeriod {

		private final FaultKind kind;

		private final long fromMillis;

		private volatile Set<String> subjects = Set.of();

		private volatile long toMillis = Long.MAX_VALUE;

		FaultPeriod(FaultKind kind, long fromMillis) {
			this.kind = kind;
			this.fromMillis = fromMillis;
		}

		void subjects(Set<String> names) {
			this.subjects = names;
		}

		void close(long millis) {
			this.toMillis = millis;
		}

		FaultKind kind() {
			return this.kind;
		}

		Set<String> subjects() {
			return this.subjects;
		}

		long fromMillis() {
			return this.fromMillis;
		}

		long toMillis() {
			return this.toMillis;
		}

		/**
		 * Returns whether the fault affects one of the names. A fault without subjects
		 * affects everything.
		 * @param names instances and failure domains
		 * @return whether the fault affects at least one of them
		 */
		boolean affects(Collection<String> names) {
			return this.subjects.isEmpty() || names.stream().anyMatch(this.subjects::contains);
		}

		@Override
		public String toString() {
			return this.kind + " " + this.subjects + " from " + this.fromMillis + " to " + this.toMillis;
		}

	}

	/**
	 * A target that was ordered to leave.
	 *
	 * @param instance the instance
	 * @param knownMillis when its agent had received the order
	 * @param replacedMillis when its agent was restarted
	 */
	record Leaving(String instance, long knownMillis, long replacedMillis) {

	}

	/**
	 * An entry that received SIGTERM.
	 *
	 * @param entry the entry
	 * @param signalMillis when the signal was sent
	 * @param exitMillis when its process had exited
	 * @param status its exit status
	 */
	record Shutdown(String entry, long signalMillis, long exitMillis, int status) {

	}

}
