package org.baobabknot.settings;

import java.util.Map;
import java.util.Optional;

import org.baobabknot.fleet.SourceTiming;
import org.baobabknot.fleet.StoreRates;

/**
 * Settings of a process that runs on the users' platform.
 *
 * @param role role of the process
 * @param instance name of this instance
 * @param failureDomain failure domain of this instance
 * @param region region of the failure domain
 * @param regionByDomain region of each failure domain
 * @param host address of this instance
 * @param callerAddress local address for callers; present for a gateway only
 * @param readinessAddress local address for the readiness checks of the balancer; present
 * for a gateway only
 * @param storeAddress address of the platform's store
 * @param storeRates calls that the platform's store takes from all processes together
 * @param engine engine on this instance; present for a loader only
 * @param peerPort port of the loaders for each other
 * @param metricsPort port of the metrics endpoint
 * @param bounds bounds that the operators set
 * @param resources resources of this instance
 */
public record FleetSettings(FleetRole role, String instance, String failureDomain, String region,
		Map<String, String> regionByDomain, String host, Optional<HostPort> callerAddress,
		Optional<HostPort> readinessAddress, HostPort storeAddress, StoreRates storeRates, Optional<LocalEngine> engine,
		int peerPort, int metricsPort, Bounds bounds, Resources resources) {

	public FleetSettings {
		regionByDomain = Map.copyOf(regionByDomain);
	}

	/**
	 * Roles of a process.
	 */
	public enum FleetRole {

		/** Routes requests of callers to targets. */
		GATEWAY,
		/** Loads weights into the engine on its instance. */
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
	 * The engine on the instance of a loader.
	 *
	 * @param address address of the engine
	 * @param service service that the engine runs
	 */
	public record LocalEngine(HostPort address, String service) {
	}

	/**
	 * Bounds that the operators set. All times are in ms.
	 *
	 * @param configurationMs time within which an accepted configuration is in force
	 * @param keyMs time after which a revoked key admits no request
	 * @param versionMs time after which no request starts on an older version of weights
	 * @param shutdownMs time between SIGTERM and SIGKILL
	 * @param retryRatio retries allowed per request
	 * @param retryWindowMs window in which retries are counted
	 * @param retryMinimum retries allowed per window in addition to the ratio, over all
	 * processes
	 * @param coldOvershoot factor by which the rate limit of a cold target may be
	 * exceeded
	 * @param coldSlack requests per second allowed to a cold target in addition to that
	 * @param heartbeatMs interval at which targets renew their entries
	 */
	public record Bounds(long configurationMs, long keyMs, long versionMs, long shutdownMs, double retryRatio,
			long retryWindowMs, double retryMinimum, double coldOvershoot, double coldSlack, long heartbeatMs) {

		/**
		 * Fraction of the time for revoking a key after which the store must confirm the
		 * keys again: other processes relay the confirmation, and one of them may fail.
		 */
		private static final double KEY_CONFIRM_INTERVAL_RATIO = 0.25;

		/**
		 * Returns how long a process waits for others from which it reads values.
		 * @return the timing
		 */
		public SourceTiming sourceTiming() {
			return SourceTiming.forChangesWithin(this.configurationMs,
					(long) (this.keyMs * KEY_CONFIRM_INTERVAL_RATIO));
		}

	}

	/**
	 * Resources of the instance that this process may use.
	 *
	 * @param descriptors number of file descriptors
	 * @param linkBytesPerSecond rate of the instance's network link
	 */
	public record Resources(int descriptors, long linkBytesPerSecond) {
	}

}
