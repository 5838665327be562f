package org.baobabknot.loader;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.fleet.OriginAddress;
import org.baobabknot.provider.OriginClient;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Caches the manifests of versions, each of which is read from the origin once. Also
 * holds the client of the origin. Confined to one event loop.
 */
final class ManifestCache {

	/** Delay before a manifest is requested again after the request failed. */
	private static final long RETRY_DELAY_MS = 250;

	private final EventLoop loop;

	private final Map<String, Manifest> manifests = new HashMap<>();

	private final Set<String> pendingKeys = new HashSet<>();

	private final Map<String, Long> lastFailureNanos = new HashMap<>();

	private OriginAddress address = new OriginAddress("", 0, "", 1, 1);

	private @Nullable OriginClient origin;

	ManifestCache(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Sets the address of the origin. If it has changed, closes the client of the
	 * previous origin.
	 * @param newAddress address of the origin
	 */
	void origin(OriginAddress newAddress) {
		if (!newAddress.equals(this.address)) {
			this.address = newAddress;
			if (this.origin != null) {
				this.origin.close();
			}
			this.origin = new OriginClient(this.loop, newAddress.host(), newAddress.port());
		}
	}

	/**
	 * Returns the client of the origin.
	 * @return the client, {@code null} as long as no origin is known
	 */
	@Nullable OriginClient origin() {
		return this.origin;
	}

	/**
	 * Returns a manifest from the cache, or requests it from the origin if it is missing.
	 * @param service service that runs the model
	 * @param model the model
	 * @param version the version
	 * @return the manifest, empty until the origin has responded
	 */
	Optional<Manifest> findOrRequest(String service, String model, long version) {
		String key = model + " " + version;
		Manifest cached = this.manifests.get(key);
		if (cached != null) {
			return Optional.of(cached);
		}
		OriginClient client = this.origin;
		long now = System.nanoTime();
		Long failureNanos = this.lastFailureNanos.get(key);
		boolean retryDelayed = failureNanos != null
				&& now - failureNanos < TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MS);
		if (client != null && !retryDelayed && this.pendingKeys.add(key)) {
			client.manifest(service, model, version).thenAccept((manifest) -> {
				this.pendingKeys.remove(key);
				manifest.ifPresentOrElse((read) -> this.manifests.put(key, read),
						() -> this.lastFailureNanos.put(key, System.nanoTime()));
			});
		}
		return Optional.empty();
	}

}
