package org.baobabknot.rules;

import java.util.Locale;
import java.util.Optional;

/**
 * Priority of requests, lowest first.
 */
public enum Priority {

	/** Served when no other requests are queued, for example batch requests. */
	LOW,
	/** The default. */
	NORMAL,
	/** Served before requests of the other priorities. */
	HIGH;

	/**
	 * Limits this priority.
	 * @param ceiling highest priority to return
	 * @return this priority, limited to the ceiling
	 */
	public Priority atMost(Priority ceiling) {
		return (compareTo(ceiling) <= 0) ? this : ceiling;
	}

	/**
	 * Returns the word used in rules and headers.
	 * @return the name in lower case
	 */
	public String word() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a priority by its word.
	 * @param word the name in lower case
	 * @return the priority, or nothing when there is none of this name
	 */
	public static Optional<Priority> of(String word) {
		for (Priority priority : values()) {
			if (priority.word().equals(word)) {
				return Optional.of(priority);
			}
		}
		return Optional.empty();
	}

}
