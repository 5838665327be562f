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
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.daemon.Role;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberState;
import org.baobabknot.origin.HttpWeightOrigin;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.record.ClaimRegistry;
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
 * Role of an agent: accepts requests from entries and runs them on its target.
 */
public final class AgentRole implements Role {

	/**
	 * Time for the sockets to send the last frames before the process exits.
	 */
	private static final long FLUSH_DELAY_MS = 100;

	/**
	 * Largest chunk that is accepted from the origin.
	 */
	private static final int MAX_CHUNK_BYTES = 64 << 20;

	/**
	 * Timeout for one chunk from the origin. Many agents share the link of the origin.
	 */
	private static final Duration CHUNK_TIMEOUT = Duration.ofSeconds(60);

	private final ProcessContext process;

	private final TargetAdmission admission;

	private final TargetMonitor monitor;

	private final HttpTarget target;

	private final AgentContext context;

	private final Optional<AgentWeights> weights;

	/**
	 * Creates the parts of the agent and registers the stream handlers.
	 * @param process the process; its settings contain a target
	 */
	public AgentRole(ProcessContext process) {
		this.process = process;
		Settings settings = process.settings();
		Settings.Target targetSettings = settings.target().orElseThrow();
		boolean engine = targetSettings.kind() == Settings.TargetKind.ENGINE;
		TargetKind kind = engine ? TargetKind.ENGINE : TargetKind.PLAIN;
		LimiterSettings limits = engine
				? LimiterSettings.withStatusReports(targetSettings.coldLimit(), targetSettings.capacity())
				: LimiterSettings.withoutStatusReports(targetSettings.coldLimit(), targetSettings.capacity());
		int maxQueued = Math.max(1, settings.limits().queuedRequests());
		this.admission = new TargetAdmission(new TargetLimiter(limits),
				new FairQueue<>(new QueueSettings(maxQueued, Math.max(1, maxQueued / 2))), process::nowNanos,
				(task, delayMs) -> process.group().next().schedule(task, delayMs, TimeUnit.MILLISECONDS));
		this.monitor = new TargetMonitor(process, kind, this.admission);
		this.target = new HttpTarget(process.group(),
				TargetSettings.of(targetSettings.url().getHost(), targetSettings.url().getPort(), kind), this.monitor);
		RequestRecord record = new RequestRecord(recordSettings(settings), process.incarnation());
		AgentMetrics metrics = new AgentMetrics(process.metrics(), this.admission, record);
		ClaimRegistry book = new ClaimRegistry(settings.instance(), process.incarnation(), claimSettings(settings));
		ClaimExecutor claims = new ClaimExecutor(process, targetSettings.service(), book,
				new PeerResolver(process, targetSettings.service()), metrics);
		LoadSource load = new LoadSource(targetSettings.service(), this.admission, this.monitor);
		this.context = new AgentContext(process, targetSettings.service(), this.target, this.admission, this.monitor,
				record, claims, metrics, load, new OpenRequests(), new RequestLog(process.requestLog()));
		this.weights = (engine)
				? settings.platform().origin().map((origin) -> weights(targetSettings.service(), origin))
				: Optional.empty();
		register(load);
	}

	private AgentWeights weights(String service, URI origin) {
		int port = (origin.getPort() > 0) ? origin.getPort() : 80;
		HttpClientSettings settings = HttpClientSettings.defaults().withMaxBodyBytes(MAX_CHUNK_BYTES);
		HttpClient client = new HttpClient(this.process.group(), origin.getHost(), port, settings, ConnectionHook.NONE);
		return new AgentWeights(this.process, service, new HttpWeightOrigin(client, CHUNK_TIMEOUT), this.admission,
				this.target, this.monitor::lastStatus, this.monitor::requestPoll,
				this.context.metrics()::responseBytes);
	}

	private void register(LoadSource load) {
		this.process.streams().addAcceptor(Frame.BodyCase.REQUEST_START, (stream, first) -> {
			AgentRequest request = new AgentRequest(this.context, stream, first.getRequestStart());
			stream.eventLoop().execute(request::begin);
			return request;
		});
		this.process.streams().addAcceptor(Frame.BodyCase.RESOLVE, new ResolveHandler(this.context));
		this.process.statusReport().setLoadSource(load);
	}

	private static RecordSettings recordSettings(Settings settings) {
		RecordSettings defaults = RecordSettings.defaults();
		long retention = TimeUnit.MILLISECONDS.toNanos(settings.timeouts().recordRetentionMs())
				+ TimeUnit.MINUTES.toNanos(1);
		return new RecordSettings(settings.limits().recordedRequests(), retention, defaults.maxBodyBytes(),
				defaults.maxTotalBodyBytes());
	}

	private static ClaimSettings claimSettings(Settings settings) {
		ClaimSettings defaults = ClaimSettings.defaults();
		return new ClaimSettings(defaults.buckets(), defaults.maxValueBytes(),
				Math.max(1, settings.timeouts().recordRetentionMs() / 1000), defaults.writeIntervalNanos());
	}

	@Override
	public CompletableFuture<Void> start() {
		this.process.configuration().addListener((adopted) -> updateDomainAdmission());
		this.process.membership().addListener((members) -> closeIfLeaving());
		updateDomainAdmission();
		closeIfLeaving();
		this.monitor.start(this.target);
		this.weights.ifPresent(AgentWeights::start);
		return CompletableFuture.completedFuture(null);
	}

	// Reads the rules in force instead of the rules passed to the listener, because
	// listeners can be called out of order.
	private void updateDomainAdmission() {
		if (this.process.configuration().rules().inService(this.process.settings().failureDomain())) {
			this.admission.reopen(CloseReason.DOMAIN_OUT);
		}
		else {
			this.admission.close(CloseReason.DOMAIN_OUT);
		}
	}

	private void closeIfLeaving() {
		Optional<Member> self = this.process.membership().member(this.process.settings().instance());
		if (self.isPresent() && self.get().state() == MemberState.LEAVING) {
			this.admission.close(CloseReason.LEAVING);
		}
	}

	@Override
	public CompletableFuture<Void> drain(String reason) {
		this.admission.close(CloseReason.LEAVING);
		CompletableFuture<Void> flushed = new CompletableFuture<>();
		this.context.openRequests()
			.whenDrained()
			.thenRun(() -> this.process.group()
				.next()
				.schedule(() -> flushed.complete(null), FLUSH_DELAY_MS, TimeUnit.MILLISECONDS));
		return flushed;
	}

	@Override
	public int endOpenRequests() {
		this.context.log().processEnding();
		return this.context.openRequests().endAll();
	}

	@Override
	public boolean isReady() {
		return this.admission.limiter().closeReason().isEmpty();
	}

	@Override
	public void close() {
		this.weights.ifPresent(AgentWeights::close);
		this.monitor.close();
		this.target.close();
	}

	/**
	 * Returns the part that manages the weights of the target.
	 * @return the part, or empty for a plain service or without an origin
	 */
	public Optional<AgentWeights> weights() {
		return this.weights;
	}

	/**
	 * Returns the gate that closes admission during a version switch.
	 * @return the gate
	 */
	public AdmissionGate gate() {
		return this.admission;
	}

	/**
	 * Returns the target.
	 * @return the target
	 */
	public Target target() {
		return this.target;
	}

	/**
	 * Returns the last polled status of the target.
	 * @return the status, or empty before the first successful poll
	 */
	public Optional<TargetStatus> status() {
		return this.monitor.lastStatus();
	}

	/**
	 * Polls the status of the target without waiting for the next interval.
	 */
	public void pollStatus() {
		this.monitor.requestPoll();
	}

}
