package org.baobabknot.fleet;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A service behind the entries.
 *
 * @param name name of the service
 * @param maxConnections connections that one target accepts from all processes together
 * @param coldRatePerSecond requests that a cold target bears in a second, 0 for no limit
 * @param engineSpeed pace of its engines, {@code null} for a service without a model
 * @param models models that its engines run
 * @param modelLayout where the weights of its models come from, {@code null} for a
 * service without a model
 */
public record ServiceDefinition(String name, int maxConnections, double coldRatePerSecond,
		@Nullable EngineSpeed engineSpeed, List<String> models, @Nullable ModelLayout modelLayout) {

	public ServiceDefinition {
		models = List.copyOf(models);
	}

}
