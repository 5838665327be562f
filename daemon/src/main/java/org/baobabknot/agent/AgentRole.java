package org.baobabknot.agent;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.admission.CloseReason;
import org.baobabknot.admission.FairQueue;
import org.baobabknot.admission.LimiterSettings;
import org.baobabknot.admission.QueueSettings;
import org.baobabknot.admission.TargetLimiter;
import org.baobabknot.agent.weights.AgentWeights;
import org.baobabknot.daemon.Node;
import org.baobabknot.daemon.Role;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberState;
import org.baobabknot.origin.HttpWeightOrigin;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.record.ClaimBook;
import org.baobabknot.record.ClaimSettings;
import org.baobabknot.record.RecordSettings;
import org.baobabknot.record.RequestRecord;
import org.baobabknot.settings.Settings;
import org.baobabknot.target.HttpTarget;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetKind;
import org.baobabknot.target.TargetSettings;
import org.baobabknot.target.TargetStatus;

/**
 * Role of an agent: takes requests from entries for its target.
 */
public final class AgentRole implements Role {

	/**
	 * Time for the last frames to leave the sockets before the process exits.
	 */
	private static final long FLUSH_MILLIS = 100;

	/**
	 * Longest chunk that the origin may serve.
	 */
	private static final int LONGEST_CHUNK_BYTES = 64 << 20;

	/**
	 * Longest time for one chunk from the origin, whose link many agents share.
	 */
	private static final Duration CHUNK_TIMEOUT = Duration.ofSeconds(60);

	private final Node node;

	private final Admission admission;

	private final TargetWatch watch;

	private final HttpTarget target;

	private final AgentParts parts;

	private final Optional<AgentWeights> weights;

	/**
	 * Creates the parts and registers the handlers.
	 * @param node parts of the process; its settings have a target
	 */
	public AgentRole(Node node) {
		this.node = node;
		Settings settings = node.settings();
		Settings.Target at = settings.target().orElseThrow();
		boolean engine = at.kind() == Settings.TargetKind.ENGINE;
		TargetKind kind = engine ? TargetKind.ENGINE : TargetKind.PLAIN;
		LimiterSettings limits = engine ? LimiterSettings.reporting(at.coldLimit(), at.capacity())
				: LimiterSettings.silent(at.coldLimit(), at.capacity());
		int queued = Math.max(1, settings.limits().queuedRequests());
		this.admission = new Admission(new TargetLimiter(limits),
				new FairQueue<>(new QueueSettings(queued, Math.max(1, queued / 2))), node::now);
		this.watch = new TargetWatch(node, kind, this.admission);
		this.target = new HttpTarget(node.group(), TargetSettings.of(at.url().getHost(), at.url().getPort(), kind),
				this.watch);
		RequestRecord record = new RequestRecord(recordSettings(settings), node.incarnation());
		AgentMetrics metrics = new AgentMetrics(node.metrics(), this.admission, record);
		ClaimBook book = new ClaimBook(settings.instance(), node.incarnation(), claimSettings(settings));
		Claims claims = new Claims(node, at.service(), book, new PeerQuestions(node, at.service()), metrics);
		LoadSource load = new LoadSource(at.service(), this.admission, this.watch);
		this.parts = new AgentParts(node, at.service(), this.target, this.admission, this.watch, record, claims,
				metrics, load, new OpenRequests());
		this.weights = (engine) ? settings.platform().origin().map((origin) -> weights(at.service(), origin))
				: Optional.empty();
		register(load);
	}

	private AgentWeights weights(String service, URI origin) {
		int port = (origin.getPort() > 0) ? origin.getPort() : 80;
		HttpClientSettings settings = HttpClientSettings.defaults().withMaxBodyBytes(LONGEST_CHUNK_BYTES);
		HttpClient client = new HttpClient(this.node.group(), origin.getHost(), port, settings, ConnectionHook.NONE);
		return new AgentWeights(this.node, service, new HttpWeightOrigin(client, CHUNK_TIMEOUT), this.admission,
				this.target, this.watch::last, this.watch::pollSoon, this.parts.metrics()::answerBytes);
	}

	private void register(LoadSource load) {
		this.node.streams().on(Frame.BodyCase.REQUEST_START, (stream, first) -> {
			AgentRequest request = new AgentRequest(this.parts, stream, first.getRequestStart());
			stream.eventLoop().execute(request::begin);
			return request;
		});
		this.node.streams().on(Frame.BodyCase.RESOLVE, new ResolveHandler(this.parts));
		this.node.report().load(load);
	}

	private static RecordSettings recordSettings(Settings settings) {
		RecordSettings defaults = RecordSettings.defaults();
		long retention = TimeUnit.MILLISECONDS.toNanos(settings.timeouts().recordRetentionMs())
				+ TimeUnit.MINUTES.toNanos(1);
		return new RecordSettings(settings.limits().recordedRequests(), retention, defaults.maxResultBytes(),
				defaults.maxTotalBytes());
	}

	private static ClaimSettings claimSettings(Settings settings) {
		ClaimSettings defaults = ClaimSettings.defaults();
		return new ClaimSettings(defaults.buckets(), defaults.maxValueBytes(),
				Math.max(1, settings.timeouts().recordRetentionMs() / 1000), defaults.writeIntervalNanos());
	}

	@Override
	public CompletableFuture<Void> start() {
		this.node.configuration().listen((adopted) -> followDomain());
		this.node.membership().listen((members) -> followMembership());
		followDomain();
		followMembership();
		this.watch.start(this.target);
		this.weights.ifPresent(AgentWeights::start);
		return CompletableFuture.completedFuture(null);
	}

	// Reads the rules in force instead of the adopted ones, because listeners can be
	// called out of order.
	private void followDomain() {
		if (this.node.configuration().rules().inService(this.node.settings().failureDomain())) {
			this.admission.reopen(CloseReason.DOMAIN_OUT);
		}
		else {
			this.admission.close(CloseReason.DOMAIN_OUT);
		}
	}

	private void followMembership() {
		Optional<Member> self = this.node.membership().member(this.node.settings().instance());
		if (self.isPresent() && self.get().state() == MemberState.LEAVING) {
			this.admission.close(CloseReason.LEAVING);
		}
	}

	@Override
	public CompletableFuture<Void> drain(String reason) {
		this.admission.close(CloseReason.LEAVING);
		CompletableFuture<Void> flushed = new CompletableFuture<>();
		this.parts.open()
			.drained()
			.thenRun(() -> this.node.group()
				.next()
				.schedule(() -> flushed.complete(null), FLUSH_MILLIS, TimeUnit.MILLISECONDS));
		return flushed;
	}

	@Override
	public boolean ready() {
		return this.admission.limiter().closedFor().isEmpty();
	}

	@Override
	public void close() {
		this.weights.ifPresent(AgentWeights::close);
		this.watch.close();
		this.target.close();
	}

	/**
	 * Returns the weights of the target.
	 * @return the weights, or nothing for a plain service
	 */
	public Optional<AgentWeights> weights() {
		return this.weights;
	}

	/**
	 * Returns the gate of the target, for switches of version.
	 * @return the gate
	 */
	public AdmissionGate gate() {
		return this.admission;
	}

	/**
	 * Returns the target, for commands.
	 * @return the target
	 */
	public Target target() {
		return this.target;
	}

	/**
	 * Returns the last status of the target.
	 * @return the status, or nothing before the first one
	 */
	public Optional<TargetStatus> status() {
		return this.watch.last();
	}

	/**
	 * Asks the target for its status now.
	 */
	public void pollStatus() {
		this.watch.pollSoon();
	}

}
