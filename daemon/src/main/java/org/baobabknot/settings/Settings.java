package org.baobabknot.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Settings of one process.
 *
 * @param role role of the process
 * @param instance name of the instance, unique in the fleet
 * @param failureDomain failure domain of the instance
 * @param region region of the failure domain
 * @param listen address of the process port
 * @param operator operator port and token
 * @param http caller port; present for an entry only
 * @param platform addresses of the platform's services
 * @param target the target; present for an agent only
 * @param tls mutual TLS between processes; empty if it is disabled
 * @param links rate limits of the network links
 * @param limits limits on memory and concurrency
 * @param timeouts timeouts
 */
public record Settings(ProcessRole role, String instance, String failureDomain, String region, Address listen,
		Operator operator, Optional<Http> http, Platform platform, Optional<Target> target, Optional<Tls> tls,
		Links links, Limits limits, Timeouts timeouts) {

	/**
	 * A local or remote TCP address.
	 *
	 * @param host IP address or host name
	 * @param port port; 0 binds any free port
	 */
	public record Address(String host, int port) {
	}

	/**
	 * The operator port.
	 *
	 * @param host local address
	 * @param port local port
	 * @param tokenFile file with the bearer token of operators; if absent, all requests
	 * of operators are refused
	 */
	public record Operator(String host, int port, Optional<Path> tokenFile) {
	}

	/**
	 * The caller port of an entry.
	 *
	 * @param host local address
	 * @param port local port
	 * @param maxConnections limit of open connections of callers
	 * @param maxHeaderBytes limit of the head of a request, in bytes
	 * @param maxBodyBytes limit of the body of a request, in bytes
	 * @param readTimeoutMs timeout for the whole head, and for each pause within the
	 * body, in milliseconds
	 * @param writeTimeoutMs timeout for a caller that does not read its response, in
	 * milliseconds
	 * @param idleTimeoutMs time after which an idle connection is closed, in milliseconds
	 */
	public record Http(String host, int port, int maxConnections, int maxHeaderBytes, long maxBodyBytes,
			int readTimeoutMs, int writeTimeoutMs, int idleTimeoutMs) {
	}

	/**
	 * The platform's services.
	 *
	 * @param store the configuration store
	 * @param members the member list
	 * @param origin the origin of model weights; optional for an entry
	 */
	public record Platform(URI store, URI members, Optional<URI> origin) {
	}

	/**
	 * The target behind an agent.
	 *
	 * @param service name of the service that the target runs
	 * @param url URL of the target
	 * @param kind engine or plain service
	 * @param coldLimit number of concurrent requests that the target can run while cold
	 * @param capacity number of concurrent requests that the target can run when warm
	 */
	public record Target(String service, URI url, TargetKind kind, int coldLimit, int capacity) {
	}

	/**
	 * Kinds of targets.
	 */
	public enum TargetKind {

		/** A model engine, which has versions and cold starts. */
		ENGINE,
		/** A service without versions. */
		PLAIN

	}

	/**
	 * Mutual TLS.
	 *
	 * @param certificate PEM file of the certificate chain
	 * @param key PEM file of the private key, PKCS 8
	 * @param authorities PEM file of the accepted authorities
	 */
	public record Tls(Path certificate, Path key, Path authorities) {
	}

	/**
	 * Rates of the network links, which limit bulk traffic; 0 means no limit.
	 *
	 * @param machineBytesPerSecond rate of the link of the instance
	 * @param regionBytesPerSecond rate of the link between two regions
	 */
	public record Links(long machineBytesPerSecond, long regionBytesPerSecond) {
	}

	/**
	 * Limits on memory and concurrency.
	 *
	 * @param threads number of event loops of the process; with one, no request moves to
	 * another thread, where each move costs a wake-up
	 * @param concurrentRequests number of open requests
	 * @param queuedRequests number of requests queued for the target; used by an agent
	 * @param weightBytes bytes of chunks in memory; used by an agent
	 * @param recordedRequests number of non-idempotent requests in the record; used by an
	 * agent
	 * @param timelineEvents number of events in the timeline
	 */
	public record Limits(int threads, int concurrentRequests, int queuedRequests, long weightBytes,
			int recordedRequests, int timelineEvents) {
	}

	/**
	 * Timeouts in milliseconds.
	 *
	 * @param requestMs timeout of a request without {@code X-Request-Timeout-Ms}
	 * @param maxRequestMs longest timeout that a caller may request
	 * @param balancerLagMs time for which the platform's balancer still sends requests to
	 * an entry that is no longer ready
	 * @param shutdownMs longest time in which open requests may complete after SIGTERM
	 * @param storeMs timeout of one call to the store
	 * @param recordRetentionMs time for which the record keeps a request id or key
	 */
	public record Timeouts(int requestMs, int maxRequestMs, int balancerLagMs, int shutdownMs, int storeMs,
			int recordRetentionMs) {
	}

}
