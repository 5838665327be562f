package org.baobabknot.fleet;

import java.util.List;
import java.util.Optional;

/**
 * Registration of a target.
 *
 * @param id identity of one start of the target
 * @param service service that it runs
 * @param host numeric address
 * @param port port
 * @param domain failure domain
 * @param slots requests that it runs concurrently
 * @param leaving whether it is leaving and accepts no new requests
 * @param coldMs remaining time for which it was cold when it wrote the registration, in
 * ms
 * @param startedMs time of its start in ms since 1970, which distinguishes two starts
 * with the same identity
 * @param holdings layers of models that it holds
 */
public record TargetRecord(String id, String service, String host, int port, String domain, int slots, boolean leaving,
		long coldMs, long startedMs, List<HeldVersion> holdings) {

	public TargetRecord {
		holdings = List.copyOf(holdings);
	}

	/**
	 * Finds the layers of a model that the target holds.
	 * @param model the model
	 * @return the holding, or nothing
	 */
	public Optional<HeldVersion> holding(String model) {
		for (HeldVersion holding : this.holdings) {
			if (holding.model().equals(model)) {
				return Optional.of(holding);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the address and port.
	 * @return {@code host:port}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
