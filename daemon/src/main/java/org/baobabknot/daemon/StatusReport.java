package org.baobabknot.daemon;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.StatusValue;
import org.jspecify.annotations.Nullable;

/**
 * Collects the load for pongs, and the load and other fields for the status that
 * operators pull, from the role. Thread-safe.
 */
public final class StatusReport {

	private final List<Consumer<StatusValue.Builder>> statusSources = new CopyOnWriteArrayList<>();

	private volatile Supplier<@Nullable Load> loadSource = () -> null;

	/**
	 * Sets the source of the load in pongs and status. It is called on event loops and
	 * must not block.
	 * @param source current load of the target
	 */
	public void setLoadSource(Supplier<@Nullable Load> source) {
		this.loadSource = source;
	}

	/**
	 * Adds a source of status fields.
	 * @param source fills in its fields
	 */
	public void addStatusSource(Consumer<StatusValue.Builder> source) {
		this.statusSources.add(source);
	}

	@Nullable Load currentLoad() {
		return this.loadSource.get();
	}

	void fillStatus(StatusValue.Builder status) {
		Load current = this.loadSource.get();
		if (current != null) {
			status.setLoad(current);
		}
		this.statusSources.forEach((source) -> source.accept(status));
	}

}
