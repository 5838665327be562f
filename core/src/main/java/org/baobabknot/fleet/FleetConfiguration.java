package org.baobabknot.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration: routes, services, origins, workspaces and
 * limits of callers. Immutable.
 */
public final class FleetConfiguration {

	private final long version;

	private final Map<String, List<Route>> routes = new HashMap<>();

	private final Map<String, ServiceDefinition> services;

	private final Map<String, Workspace> workspaces;

	private final List<OriginAddress> origins;

	private final CallerLimits callerLimits;

	private final boolean keysRequired;

	/**
	 * Creates a configuration.
	 * @param version version of the configuration, which increases with each change
	 * @param routes all routes
	 * @param services services by name
	 * @param origins origins of weights
	 * @param workspaces workspaces by API key of their callers
	 * @param keysRequired whether requests must carry an API key
	 * @param callerLimits limits of callers
	 */
	public FleetConfiguration(long version, List<Route> routes, Map<String, ServiceDefinition> services,
			List<OriginAddress> origins, Map<String, Workspace> workspaces, boolean keysRequired,
			CallerLimits callerLimits) {
		this.version = version;
		for (Route route : routes) {
			this.routes.computeIfAbsent(route.host(), (absent) -> new ArrayList<>()).add(route);
		}
		this.routes.values()
			.forEach((list) -> list.sort(Comparator.comparingInt((Route route) -> route.prefix().length()).reversed()));
		this.services = Map.copyOf(services);
		this.origins = List.copyOf(origins);
		this.workspaces = Map.copyOf(workspaces);
		this.keysRequired = keysRequired;
		this.callerLimits = callerLimits;
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request: the one with the longest matching prefix.
	 * @param host host header, with or without a port
	 * @param path path, with or without a query
	 * @return the route, or nothing
	 */
	public Optional<Route> route(String host, String path) {
		int colon = host.indexOf(':');
		List<Route> candidates = this.routes.getOrDefault((colon < 0) ? host : host.substring(0, colon), List.of());
		int query = path.indexOf('?');
		String pathWithoutQuery = (query < 0) ? path : path.substring(0, query);
		for (Route route : candidates) {
			if (pathWithoutQuery.startsWith(route.prefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service, or nothing
	 */
	public Optional<ServiceDefinition> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the workspace that an API key belongs to.
	 * @param key the API key
	 * @return the workspace, or nothing
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable(this.workspaces.get(key));
	}

	/**
	 * Returns whether requests on routes that are not anonymous must carry an API key.
	 * @return true if the configuration has workspaces
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * Returns the origins of weights.
	 * @return the origins
	 */
	public List<OriginAddress> origins() {
		return this.origins;
	}

	/**
	 * Returns the limits of callers.
	 * @return the limits
	 */
	public CallerLimits callerLimits() {
		return this.callerLimits;
	}

}
