package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What was done to the fleet and when, in milliseconds since the epoch. Thread-safe.
 */
final class FaultHistory {

	private final List<Episode> episodes = new ArrayList<>();

	private final List<Leaving> leavings = new ArrayList<>();

	private final List<Shutdown> shutdowns = new ArrayList<>();

	synchronized Episode open(FaultKind kind) {
		Episode episode = new Episode(kind, System.currentTimeMillis());
		this.episodes.add(episode);
		return episode;
	}

	synchronized void add(Episode episode) {
		this.episodes.add(episode);
	}

	synchronized void leaving(Leaving leaving) {
		this.leavings.add(leaving);
	}

	synchronized void shutdown(Shutdown shutdown) {
		this.shutdowns.add(shutdown);
	}

	synchronized List<Episode> episodes() {
		return List.copyOf(this.episodes);
	}

	synchronized List<Leaving> leavings() {
		return List.copyOf(this.leavings);
	}

	synchronized List<Shutdown> shutdowns() {
		return List.copyOf(this.shutdowns);
	}

	/**
	 * Returns the end of the last fault that overlaps a period.
	 * @param which the faults that matter
	 * @param names the instances and failure domains that matter
	 * @param fromMillis the start of the period
	 * @param toMillis the end of the period
	 * @return the end of the fault, or {@code fromMillis} when there is none
	 */
	long lastEnd(Predicate<FaultKind> which, Collection<String> names, long fromMillis, long toMillis) {
		long end = fromMillis;
		for (Episode episode : episodes()) {
			if (which.test(episode.kind()) && episode.touches(names) && episode.fromMillis() <= toMillis
					&& episode.toMillis() >= fromMillis) {
				end = Math.max(end, episode.toMillis());
			}
		}
		return end;
	}

	/**
	 * Tells whether a fault overlaps a period.
	 * @param which the faults that matter
	 * @param names the instances and failure domains that matter
	 * @param fromMillis the start of the period
	 * @param toMillis the end of the period
	 * @return whether there is one
	 */
	boolean overlaps(Predicate<FaultKind> which, Collection<String> names, long fromMillis, long toMillis) {
		return episodes().stream()
			.anyMatch((episode) -> which.test(episode.kind()) && episode.touches(names)
					&& episode.fromMillis() <= toMillis && episode.toMillis() >= fromMillis);
	}

	/**
	 * One fault from before it began until after it was ended.
	 */
	static final class Episode {

		private final FaultKind kind;

		private final long fromMillis;

		private volatile Set<String> subjects = Set.of();

		private volatile long toMillis = Long.MAX_VALUE;

		Episode(FaultKind kind, long fromMillis) {
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
		 * Tells whether one of the names is concerned. A fault without subjects concerns
		 * everything.
		 * @param names instances and failure domains
		 * @return whether the fault concerns them
		 */
		boolean touches(Collection<String> names) {
			return this.subjects.isEmpty() || names.stream().anyMatch(this.subjects::contains);
		}

		@Override
		public String toString() {
			return this.kind + " " + this.subjects + " from " + this.fromMillis + " to " + this.toMillis;
		}

	}

	/**
	 * A target that was told to leave.
	 *
	 * @param instance the instance
	 * @param knownMillis when its agent knew
	 * @param replacedMillis when its agent was started again
	 */
	record Leaving(String instance, long knownMillis, long replacedMillis) {

	}

	/**
	 * An entry that got SIGTERM.
	 *
	 * @param entry the entry
	 * @param signalMillis when it got the signal
	 * @param exitMillis when it had ended
	 * @param status its exit status
	 */
	record Shutdown(String entry, long signalMillis, long exitMillis, int status) {

	}

}
