package org.baobabknot.fleet;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Definition of a service that requests are routed to.
 *
 * @param name name of the service
 * @param maxConnections limit of connections from all processes to one target
 * @param coldRatePerSecond requests per second that a cold target accepts, 0 for no limit
 * @param engineSpeed speed of its engines, {@code null} for a service without a model
 * @param models models that its engines run
 * @param modelLayout division of the weights of its models into layers and chunks,
 * {@code null} for a service without a model
 * @param statusPath path at which its targets report their state
 */
public record ServiceDefinition(String name, int maxConnections, double coldRatePerSecond,
		@Nullable EngineSpeed engineSpeed, List<String> models, @Nullable ModelLayout modelLayout, String statusPath) {

	public ServiceDefinition {
		models = List.copyOf(models);
	}

	/**
	 * Returns whether its targets name their start when they report their state.
	 * @return true for a service with a model
	 */
	public boolean reportsStart() {
		return this.engineSpeed != null;
	}

}
