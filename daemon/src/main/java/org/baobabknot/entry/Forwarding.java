package org.baobabknot.entry;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.baobabknot.daemon.Node;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.protocol.generated.Resolve;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.record.ClaimSettings;
import org.baobabknot.record.Hash128;
import org.baobabknot.routing.Choice;
import org.baobabknot.routing.RoutingRequest;

/**
 * What all exchanges of an entry share: the table of agents, the retry policy, the open
 * exchanges, and the messages sent to agents.
 */
final class Forwarding {

	private static final int BUCKETS = ClaimSettings.defaults().buckets();

	// Prompts of one use share their start; engines cache it.
	private static final int PREFIX_BYTES = 256;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final Node node;

	private final AgentTable agents;

	private final Retries retries = new Retries();

	private final EntryMetrics metrics;

	private final Set<Exchange> open = ConcurrentHashMap.newKeySet();

	private volatile Runnable onEnd = () -> {
	};

	Forwarding(Node node, AgentTable agents, EntryMetrics metrics) {
		this.node = node;
		this.agents = agents;
		this.metrics = metrics;
	}

	long now() {
		return this.node.now();
	}

	Retries policy() {
		return this.retries;
	}

	Exchange open(Caller caller, CallerRequest request) {
		Exchange exchange = new Exchange(this, caller, request);
		this.open.add(exchange);
		return exchange;
	}

	int openExchanges() {
		return this.open.size();
	}

	void onEnd(Runnable action) {
		this.onEnd = action;
	}

	void ended(Exchange exchange, String how) {
		this.open.remove(exchange);
		if (how.equals("whole")) {
			this.metrics.whole();
		}
		else {
			this.metrics.ended(how);
		}
		this.onEnd.run();
	}

	Optional<Choice> choose(CallerRequest request, RequestBody body, Set<String> excluded) {
		return this.agents.choose(routing(request, body), excluded);
	}

	Optional<Connection> connection(String agent) {
		return this.agents.connection(agent);
	}

	boolean reconnecting(String service) {
		return this.agents.reconnecting(service);
	}

	CompletableFuture<Connection> awaitConnection(String agent, long timeoutMs) {
		return this.agents.await(agent, timeoutMs);
	}

	void started(String agent) {
		this.metrics.attempt();
		this.agents.balancer().started(agent);
	}

	void finished(String agent, boolean success, long latencyNanos) {
		this.agents.balancer().finished(agent, success, latencyNanos, now());
	}

	void abandoned(String agent) {
		this.agents.balancer().abandoned(agent);
	}

	void report(String agent, Load load) {
		this.agents.report(agent, load);
	}

	Frame.Builder start(CallerRequest request, RequestBody body, Connection connection, long nowNanos) {
		long left = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
		RequestStart.Builder start = RequestStart.newBuilder()
			.setRequestId(request.id())
			.setService(request.service())
			.setWorkspace(request.workspace())
			.setMethod(request.method())
			.setPath(request.path())
			.setTimeoutMs((int) Math.max(1, left))
			.setPriority(request.priority())
			.setIdempotent(request.idempotent())
			.setIdempotencyKey(request.key())
			.setAgentIncarnation((request.idempotent()) ? 0 : connection.peerHello().getIncarnation())
			.setRulesRevision(this.node.configuration().revision());
		if (request.claimed()) {
			start.setFingerprint(fingerprint(request, body));
		}
		HeaderFilter.copy(request.headers(), start);
		return Frame.newBuilder().setRequestStart(start);
	}

	Frame.Builder question(CallerRequest request, RequestBody body, long incarnation) {
		this.metrics.resolve();
		Resolve.Builder resolve = Resolve.newBuilder()
			.setRequestId(request.id())
			.setAgentIncarnation(incarnation)
			.setService(request.service())
			.setIdempotencyKey(request.key());
		if (request.claimed()) {
			resolve.setFingerprint(fingerprint(request, body));
		}
		return Frame.newBuilder().setResolve(resolve);
	}

	HttpResponse head(ResponseStart start, CallerRequest request) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(start.getStatus()));
		HeaderFilter.copy(start.getHeadersList(), head.headers());
		if (!start.getVersion().isEmpty()) {
			head.headers().set("X-Model-Version", start.getVersion());
		}
		if (!start.getDigest().isEmpty()) {
			head.headers().set("X-Model-Digest", start.getDigest());
		}
		head.headers().set("X-Request-Id", request.idText());
		if (!bodiless(start.getStatus(), request) && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		return head;
	}

	static boolean bodiless(int status, CallerRequest request) {
		return request.method().equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED;
	}

	private RoutingRequest routing(CallerRequest request, RequestBody body) {
		if (request.claimed()) {
			int bucket = Hash128.digest(request.service(), request.workspace(), request.key()).bucket(BUCKETS);
			return RoutingRequest.atHome(request.service(), bucket);
		}
		ByteString first = body.first();
		if (!first.isEmpty() && this.node.configuration().rules().modelFor(request.service()).isPresent()) {
			ByteString prefix = first.substring(0, Math.min(PREFIX_BYTES, first.size()));
			return RoutingRequest.withPrefix(request.service(), request.workspace() + prefix.hashCode());
		}
		return RoutingRequest.of(request.service());
	}

	private static ByteString fingerprint(CallerRequest request, RequestBody body) {
		return Fingerprint.of(request.method(), request.path(), body.parts());
	}

}
