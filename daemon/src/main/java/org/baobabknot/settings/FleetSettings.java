package org.baobabknot.settings;

import java.util.Map;
import java.util.Optional;

/**
 * Settings of a process that runs on the users' platform.
 *
 * @param role what the process does
 * @param instance name of this instance
 * @param failureDomain its failure domain
 * @param region region of the failure domain
 * @param regionByDomain region of each failure domain
 * @param host address of this instance
 * @param callerAddress where callers connect, for a gateway
 * @param readinessAddress where the balancer asks for readiness, for a gateway
 * @param storeAddress address of the platform's store
 * @param engine the engine on this machine, for a loader
 * @param peerPort port of the other loaders
 * @param metricsPort port of the metrics
 * @param bounds bounds that the operators set
 * @param resources what the machine offers
 */
public record FleetSettings(FleetRole role, String instance, String failureDomain, String region,
		Map<String, String> regionByDomain, String host, Optional<HostPort> callerAddress,
		Optional<HostPort> readinessAddress, HostPort storeAddress, Optional<LocalEngine> engine, int peerPort,
		int metricsPort, Bounds bounds, Resources resources) {

	public FleetSettings {
		regionByDomain = Map.copyOf(regionByDomain);
	}

	/**
	 * What a process does.
	 */
	public enum FleetRole {

		/** Takes requests of callers and sends them to targets. */
		GATEWAY,
		/** Brings weights to the engine on its machine. */
		LOADER

	}

	/**
	 * A socket address.
	 *
	 * @param host numeric address
	 * @param port port
	 */
	public record HostPort(String host, int port) {
	}

	/**
	 * The engine on the machine of a loader.
	 *
	 * @param address its address
	 * @param service service that it runs
	 */
	public record LocalEngine(HostPort address, String service) {
	}

	/**
	 * Bounds that the operators set, all times in ms.
	 *
	 * @param configurationMs time after which an accepted configuration is in force
	 * @param keyMs time after which a key that was taken away admits no request
	 * @param versionMs time after which no request starts on an older version of weights
	 * @param shutdownMs time between SIGTERM and SIGKILL
	 * @param retryRatio repeats allowed for each request
	 * @param retryWindowMs window in which repeats are counted
	 * @param retryMinimum repeats allowed in a window beside the ratio, over all
	 * processes
	 * @param coldOvershoot factor by which the rate of a cold target may be exceeded
	 * @param coldSlack requests in a second allowed to a cold target beside that
	 */
	public record Bounds(long configurationMs, long keyMs, long versionMs, long shutdownMs, double retryRatio,
			long retryWindowMs, double retryMinimum, double coldOvershoot, double coldSlack) {
	}

	/**
	 * What the machine offers to this process.
	 *
	 * @param descriptors file descriptors
	 * @param linkBytesPerSecond rate of the machine's link
	 */
	public record Resources(int descriptors, long linkBytesPerSecond) {
	}

}
