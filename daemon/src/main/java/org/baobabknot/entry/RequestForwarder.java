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
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.protocol.generated.Resolve;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.record.ClaimSettings;
import org.baobabknot.record.Hash128;
import org.baobabknot.routing.AgentChoice;
import org.baobabknot.routing.RoutingRequest;

/**
 * Forwards requests to agents: holds the agents, the retry policy and the open exchanges,
 * and builds the messages to agents and the heads of responses.
 */
final class RequestForwarder {

	private static final int CLAIM_BUCKETS = ClaimSettings.defaults().buckets();

	// Prompts of the same kind start with the same text, which engines cache.
	private static final int PROMPT_PREFIX_BYTES = 256;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private final ProcessContext process;

	private final AgentTable agents;

	private final BudgetedRetryPolicy retryPolicy = new BudgetedRetryPolicy();

	private final EntryMetrics metrics;

	private final RequestLog log;

	private final Set<Exchange> open = ConcurrentHashMap.newKeySet();

	private volatile Runnable onExchangeEnd = () -> {
	};

	RequestForwarder(ProcessContext process, AgentTable agents, EntryMetrics metrics) {
		this.process = process;
		this.agents = agents;
		this.metrics = metrics;
		this.log = new RequestLog(process.requestLog(), metrics);
	}

	RequestLog log() {
		return this.log;
	}

	long now() {
		return this.process.nowNanos();
	}

	BudgetedRetryPolicy retryPolicy() {
		return this.retryPolicy;
	}

	Exchange open(Caller caller, CallerRequest request) {
		Exchange exchange = new Exchange(this, caller, request);
		this.open.add(exchange);
		return exchange;
	}

	int openExchanges() {
		return this.open.size();
	}

	void onExchangeEnd(Runnable action) {
		this.onExchangeEnd = action;
	}

	void exchangeEnded(Exchange exchange, String outcome) {
		this.open.remove(exchange);
		this.log.requestEnded(exchange.request(), outcome, exchange.progress(), now());
		this.onExchangeEnd.run();
	}

	Optional<AgentChoice> chooseAgent(CallerRequest request, RequestBody body, Set<String> excluded) {
		return this.agents.choose(routingRequest(request, body), excluded);
	}

	Optional<Connection> connection(String agent) {
		return this.agents.connection(agent);
	}

	boolean reconnecting(String service) {
		return this.agents.reconnecting(service);
	}

	CompletableFuture<Connection> awaitConnection(String agent, long timeoutMs) {
		return this.agents.awaitConnection(agent, timeoutMs);
	}

	void attemptStarted(String agent) {
		this.metrics.attemptStarted();
		this.agents.balancer().recordStart(agent);
	}

	void attemptFinished(String agent, boolean success, long latencyNanos) {
		this.agents.balancer().recordResult(agent, success, latencyNanos, now());
	}

	void attemptAbandoned(String agent) {
		this.agents.balancer().recordAbandoned(agent);
	}

	void reportLoad(String agent, Load load) {
		this.agents.reportLoad(agent, load);
	}

	Frame.Builder requestFrame(CallerRequest request, RequestBody body, Connection connection, long nowNanos) {
		long remainingMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
		RequestStart.Builder start = RequestStart.newBuilder()
			.setRequestId(request.id())
			.setService(request.service())
			.setWorkspace(request.workspace())
			.setMethod(request.method())
			.setPath(request.path())
			.setTimeoutMs((int) Math.max(1, remainingMs))
			.setPriority(request.priority())
			.setIdempotent(request.idempotent())
			.setIdempotencyKey(request.idempotencyKey())
			.setAgentIncarnation((request.idempotent()) ? 0 : connection.peerHello().getIncarnation())
			.setRulesRevision(this.process.configuration().revision());
		if (request.claimsKey()) {
			start.setFingerprint(fingerprint(request, body));
		}
		HeaderFilter.copy(request.headers(), start);
		return Frame.newBuilder().setRequestStart(start);
	}

	Frame.Builder resolveFrame(CallerRequest request, RequestBody body, long incarnation) {
		this.metrics.resolveSent();
		Resolve.Builder resolve = Resolve.newBuilder()
			.setRequestId(request.id())
			.setAgentIncarnation(incarnation)
			.setService(request.service())
			.setIdempotencyKey(request.idempotencyKey());
		if (request.claimsKey()) {
			resolve.setFingerprint(fingerprint(request, body));
		}
		return Frame.newBuilder().setResolve(resolve);
	}

	HttpResponse responseHead(ResponseStart start, CallerRequest request) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(start.getStatus()));
		HeaderFilter.copy(start.getHeadersList(), head.headers());
		if (!start.getVersion().isEmpty()) {
			head.headers().set("X-Model-Version", start.getVersion());
		}
		if (!start.getDigest().isEmpty()) {
			head.headers().set("X-Model-Digest", start.getDigest());
		}
		head.headers().set("X-Request-Id", request.idHex());
		if (!hasNoBody(start.getStatus(), request) && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		return head;
	}

	static boolean hasNoBody(int status, CallerRequest request) {
		return request.method().equals("HEAD") || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
	}

	private RoutingRequest routingRequest(CallerRequest request, RequestBody body) {
		if (request.claimsKey()) {
			int bucket = Hash128.digest(request.service(), request.workspace(), request.idempotencyKey())
				.bucket(CLAIM_BUCKETS);
			return RoutingRequest.withIdempotencyBucket(request.service(), bucket);
		}
		ByteString firstPart = body.firstPart();
		if (!firstPart.isEmpty() && this.process.configuration().rules().modelFor(request.service()).isPresent()) {
			ByteString prefix = firstPart.substring(0, Math.min(PROMPT_PREFIX_BYTES, firstPart.size()));
			return RoutingRequest.withPrefix(request.service(), request.workspace() + prefix.hashCode());
		}
		return RoutingRequest.of(request.service());
	}

	private static ByteString fingerprint(CallerRequest request, RequestBody body) {
		return Fingerprint.of(request.method(), request.path(), body.parts());
	}

}
