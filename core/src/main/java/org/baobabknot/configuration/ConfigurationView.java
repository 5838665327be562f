package org.baobabknot.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.baobabknot.rules.RuleSet;

/**
 * Holds the revision of the rules that is in force in this process. Only higher revisions
 * are adopted, so a delayed or repeated revision never reverts the rules. Thread-safe;
 * reads take no lock.
 */
public final class ConfigurationView {

	private final Object lock = new Object();

	private final List<Consumer<AdoptionResult.Adopted>> listeners = new CopyOnWriteArrayList<>();

	private volatile Revision current = Revision.NONE;

	/**
	 * Adopts a revision if it is higher than the one in force.
	 * @param offered the revision
	 * @return whether the revision was adopted
	 */
	public AdoptionResult adopt(Revision offered) {
		AdoptionResult.Adopted adopted;
		synchronized (this.lock) {
			Revision previous = this.current;
			if (offered.number() < previous.number()) {
				return new AdoptionResult.Outdated(previous.number());
			}
			if (offered.number() == previous.number()) {
				return offered.changeId().equals(previous.changeId()) ? new AdoptionResult.Outdated(previous.number())
						: new AdoptionResult.Conflicting(previous, offered);
			}
			this.current = offered;
			adopted = new AdoptionResult.Adopted(previous, offered);
		}
		this.listeners.forEach((listener) -> listener.accept(adopted));
		return adopted;
	}

	/**
	 * Returns the revision in force.
	 * @return the revision, {@link Revision#NONE} before the first adoption
	 */
	public Revision current() {
		return this.current;
	}

	/**
	 * Returns the number of the revision in force.
	 * @return the number, 0 before the first adoption
	 */
	public long revision() {
		return this.current.number();
	}

	/**
	 * Returns the rules in force.
	 * @return the rules, empty before the first adoption
	 */
	public RuleSet rules() {
		return this.current.rules();
	}

	/**
	 * Adds a listener that is called after each adoption, outside of the lock. Concurrent
	 * adoptions may be reported in any order; a listener that needs the latest revision
	 * reads {@link #current()}.
	 * @param listener receives each adoption
	 */
	public void addListener(Consumer<AdoptionResult.Adopted> listener) {
		this.listeners.add(listener);
	}

}
