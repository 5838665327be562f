package org.baobabknot.agent.weights;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.baobabknot.origin.ManifestJson;
import org.baobabknot.origin.ManifestResult;
import org.baobabknot.origin.WeightOrigin;
import org.baobabknot.protocol.Connection;
import org.baobabknot.rules.Rule;
import org.baobabknot.weights.Manifest;

/**
 * Fetches the manifest of a rule's version from a peer or the origin, and accepts it only
 * if its digest, service and version match the rule.
 */
final class ManifestFetcher {

	private final BulkConnections connections;

	private final WeightOrigin origin;

	ManifestFetcher(BulkConnections connections, WeightOrigin origin) {
		this.connections = connections;
		this.origin = origin;
	}

	/**
	 * Requests the manifest from one source. Attempts alternate between the origin and
	 * the peers, so that a source that is down or serves other content does not block the
	 * fetch.
	 * @param rule the rule
	 * @param peers agents that may hold the manifest
	 * @param attempt number of earlier attempts, which selects the source
	 * @return the manifest, or empty if this source did not return a matching one
	 */
	CompletableFuture<Optional<Manifest>> fetch(Rule.Model rule, List<String> peers, int attempt) {
		boolean fromPeer = !peers.isEmpty() && attempt % 2 == 1;
		CompletableFuture<Optional<byte[]>> bytes = fromPeer
				? fetchFromPeer(rule, peers.get((attempt / 2) % peers.size())) : fetchFromOrigin(rule);
		return bytes.thenApply((json) -> json.flatMap((value) -> parseIfNamedBy(value, rule)));
	}

	private CompletableFuture<Optional<byte[]>> fetchFromOrigin(Rule.Model rule) {
		return this.origin.manifest(rule.service(), rule.version())
			.thenApply((result) -> (result instanceof ManifestResult.Fetched fetched) ? Optional.of(fetched.json())
					: Optional.empty());
	}

	private CompletableFuture<Optional<byte[]>> fetchFromPeer(Rule.Model rule, String peer) {
		return this.connections.acquire(peer).thenCompose((connection) -> {
			if (connection.isEmpty()) {
				return CompletableFuture.completedFuture(Optional.empty());
			}
			Connection open = connection.get();
			return PeerTransfer.fetchManifest(open, rule.service(), rule.version(), rule.digest())
				.thenApply((fetched) -> {
					this.connections.release(peer, open);
					return (fetched instanceof FetchResult.Completed bytes) ? Optional.of(bytes.bytes())
							: Optional.empty();
				});
		});
	}

	private static Optional<Manifest> parseIfNamedBy(byte[] json, Rule.Model rule) {
		try {
			Manifest manifest = ManifestJson.read(json);
			boolean matchesRule = manifest.digest().equals(rule.digest()) && manifest.service().equals(rule.service())
					&& manifest.version().equals(rule.version());
			return matchesRule ? Optional.of(manifest) : Optional.empty();
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
	}

}
