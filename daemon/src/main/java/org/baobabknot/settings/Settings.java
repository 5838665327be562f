package org.baobabknot.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Settings of one process.
 *
 * @param role what the process does
 * @param instance name of the instance, unique in the fleet
 * @param failureDomain failure domain of the instance
 * @param region region of the failure domain
 * @param listen address of the process port
 * @param operator operator port and token
 * @param http caller port; present for an entry only
 * @param platform addresses of the platform's services
 * @param target the target; present for an agent only
 * @param tls mutual TLS between processes; empty when it is switched off
 * @param links rates of the links
 * @param limits bounds on memory and concurrency
 * @param timeouts timeouts
 */
public record Settings(ProcessRole role, String instance, String failureDomain, String region, Address listen,
		Operator operator, Optional<Http> http, Platform platform, Optional<Target> target, Optional<Tls> tls,
		Links links, Limits limits, Timeouts timeouts) {

	/**
	 * A local or remote TCP address.
	 *
	 * @param host IP address or host name
	 * @param port port; 0 binds any free one
	 */
	public record Address(String host, int port) {
	}

	/**
	 * The operator port.
	 *
	 * @param host local address
	 * @param port local port
	 * @param tokenFile file with the bearer token of operators; without it no operator is
	 * accepted
	 */
	public record Operator(String host, int port, Optional<Path> tokenFile) {
	}

	/**
	 * The caller port of an entry.
	 *
	 * @param host local address
	 * @param port local port
	 * @param maxConnections connections of callers open at once
	 * @param maxHeaderBytes bytes of the head of a request
	 * @param maxBodyBytes bytes of the body of a request
	 * @param readTimeoutMs time a caller has to send the whole head, and without progress
	 * in the body, in milliseconds
	 * @param writeTimeoutMs time without progress of a caller that does not read, in
	 * milliseconds
	 * @param idleTimeoutMs time an idle connection is kept, in milliseconds
	 */
	public record Http(String host, int port, int maxConnections, int maxHeaderBytes, long maxBodyBytes,
			int readTimeoutMs, int writeTimeoutMs, int idleTimeoutMs) {
	}

	/**
	 * The platform's services.
	 *
	 * @param store the configuration store
	 * @param members the member list
	 * @param origin the origin of model weights; an entry needs none
	 */
	public record Platform(URI store, URI members, Optional<URI> origin) {
	}

	/**
	 * The target behind an agent.
	 *
	 * @param service its service
	 * @param url its address
	 * @param kind engine or plain service
	 * @param coldLimit requests it can run at once while cold
	 * @param capacity requests it can run at once when warm
	 */
	public record Target(String service, URI url, TargetKind kind, int coldLimit, int capacity) {
	}

	/**
	 * Kinds of targets.
	 */
	public enum TargetKind {

		/** A model engine with versions and cold starts. */
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
	 * Rates of the links, which bound bulk traffic; 0 stands for no bound.
	 *
	 * @param machineBytesPerSecond rate of the link of the instance
	 * @param regionBytesPerSecond rate of the link between two regions
	 */
	public record Links(long machineBytesPerSecond, long regionBytesPerSecond) {
	}

	/**
	 * Bounds on memory and concurrency.
	 *
	 * @param threads event loops of the process; with one, no request changes threads
	 * inside the process, which costs a wake-up each time
	 * @param concurrentRequests requests open at once
	 * @param queuedRequests requests that wait for the target; used by an agent
	 * @param weightBytes bytes of chunks in memory; used by an agent
	 * @param recordedRequests non-idempotent requests in the record; used by an agent
	 * @param timelineEvents events kept on the timeline
	 */
	public record Limits(int threads, int concurrentRequests, int queuedRequests, long weightBytes,
			int recordedRequests, int timelineEvents) {
	}

	/**
	 * Timeouts in milliseconds.
	 *
	 * @param requestMs deadline of a request without {@code X-Request-Timeout-Ms}
	 * @param maxRequestMs longest deadline that a caller may ask for
	 * @param balancerLagMs time for which the platform's balancer still sends requests to
	 * an entry that is no longer ready
	 * @param shutdownMs longest time for open requests after SIGTERM
	 * @param storeMs time for one call to the store
	 * @param recordRetentionMs time for which a request id or key is remembered
	 */
	public record Timeouts(int requestMs, int maxRequestMs, int balancerLagMs, int shutdownMs, int storeMs,
			int recordRetentionMs) {
	}

}
