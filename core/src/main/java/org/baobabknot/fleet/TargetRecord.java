package org.baobabknot.fleet;

import java.util.List;
import java.util.Optional;

/**
 * A target as it is listed.
 *
 * @param id identity of one start of the target
 * @param service service that it runs
 * @param host numeric address
 * @param port port
 * @param domain failure domain
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param coldMs time for which it was still cold when it wrote the entry, in ms
 * @param startedMs time of its start in ms since 1970, which tells two starts under one
 * identity apart
 * @param holdings models that it holds
 */
public record TargetRecord(String id, String service, String host, int port, String domain, int slots, boolean leaving,
		long coldMs, long startedMs, List<Holding> holdings) {

	public TargetRecord {
		holdings = List.copyOf(holdings);
	}

	/**
	 * Finds what it holds of a model.
	 * @param model the model
	 * @return the holding, or nothing
	 */
	public Optional<Holding> holding(String model) {
		for (Holding holding : this.holdings) {
			if (holding.model().equals(model)) {
				return Optional.of(holding);
			}
		}
		return Optional.empty();
	}

	/**
	 * Address and port.
	 * @return {@code host:port}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
