package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.channel.EventLoop;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.protocol.generated.PartCrash;
import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.protocol.generated.PartServed;
import org.baobabknot.protocol.generated.PartTrial;
import org.baobabknot.quarantine.CrashEvidence;
import org.baobabknot.quarantine.Quarantine;
import org.baobabknot.quarantine.RequestVerdict;
import org.baobabknot.quarantine.ServedTrait;
import org.baobabknot.quarantine.Trial;
import org.baobabknot.quarantine.TrialTable;

/**
 * Holds back requests under which targets crash, and lets suspected ones run one at a
 * time. Exchanges evidence with the other entries: new evidence goes to all of them at
 * once, and the evidence known so far to one of them from time to time, which replaces
 * lost datagrams. Confined to one event loop.
 */
final class RequestGuard {

	/** Interval in which evidence is sent to another entry, in ms. */
	private static final long EXCHANGE_INTERVAL_MS = 500;

	/**
	 * Time in which a datagram reaches another entry and its response returns, in ms.
	 */
	static final long ROUND_TRIP_MS = 15;

	/**
	 * Interval in which evidence is requested after the start, in ms. Until it arrives, a
	 * process would run requests that the others hold back.
	 */
	private static final long PULL_INTERVAL_MS = 50;

	/** Exchanges after the start in which evidence is requested. */
	private static final int INITIAL_PULLS = 8;

	/**
	 * Records that are sent at a crash: the new one and earlier ones of its traits, which
	 * replace lost datagrams.
	 */
	private static final int MAX_RELATED_RECORDS = 5;

	/** Entries that are asked for evidence after a stall. */
	private static final int STALL_PULLS = 3;

	/** Records in one datagram, so that it fits into one packet of a usual network. */
	private static final int MAX_RECORDS = 20;

	private final Quarantine quarantine = new Quarantine();

	private final TrialTable trials;

	private final long self;

	private final EventLoop loop;

	private final StallDetector stallDetector;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final Peers peers;

	private final Requests requests;

	/** Traits whose quarantine was reported. */
	private Set<Long> quarantinedTraits = Set.of();

	private int exchanges;

	/**
	 * Creates a guard without evidence.
	 * @param instance name of the instance of this process
	 * @param loop event loop, whose clock is used
	 * @param log log of decisions
	 * @param random chooses the entry of an exchange
	 * @param peers the other entries of the fleet
	 * @param requests the requests of this process
	 */
	RequestGuard(String instance, EventLoop loop, DecisionLog log, RandomGenerator random, Peers peers,
			Requests requests) {
		this.self = Hashing.komihash5_0().hashCharsToLong(instance);
		this.trials = new TrialTable(this.self);
		this.loop = loop;
		this.stallDetector = new StallDetector(loop, this::pullAfterStall);
		this.log = log;
		this.random = random;
		this.peers = peers;
		this.requests = requests;
	}

	private long now() {
		return this.loop.ticker().nanoTime();
	}

	RequestVerdict verdict(Collection<Long> traits) {
		return this.quarantine.verdict(traits, now());
	}

	/**
	 * Returns whether a trait of a request was in a crash.
	 * @param traits traits of the request
	 * @return whether there is any evidence, too weak for a suspicion or not
	 */
	boolean hasEvidence(Collection<Long> traits) {
		return this.quarantine.hasEvidence(traits);
	}

	/**
	 * Returns the traits of requests that gateways may send again now and that may crash
	 * the next target.
	 * @return the traits
	 */
	Set<Long> repeatedTraits() {
		return this.quarantine.repeatedTraits(now());
	}

	/**
	 * Returns the traits of a request that were in a crash.
	 * @param traits traits of the request
	 * @return the suspected ones
	 */
	List<Long> suspectedTraits(Collection<Long> traits) {
		return this.quarantine.suspectedTraits(traits, now());
	}

	/**
	 * Decides whether a request may run, at once or after the other entries had time to
	 * object.
	 * @param traits traits of the request
	 * @param outcome receives the decision
	 */
	void admit(Collection<Long> traits, Outcome outcome) {
		if (this.stallDetector.messagesMayWait()) {
			this.loop.schedule(() -> decide(traits, outcome), StallDetector.SETTLING_MS, TimeUnit.MILLISECONDS);
		}
		else {
			decide(traits, outcome);
		}
	}

	private void decide(Collection<Long> traits, Outcome outcome) {
		RequestVerdict verdict = verdict(traits);
		if (!verdict.mayRun()) {
			this.quarantine.recordHeld(traits, now());
			outcome.held();
		}
		else if (verdict.needsTrial()) {
			claim(traits, outcome);
		}
		else {
			outcome.admitted(Optional.empty());
		}
	}

	private void claim(Collection<Long> traits, Outcome outcome) {
		List<Long> suspected = suspectedTraits(traits);
		Optional<Trial> claim = (this.requests.isInFlight(suspected)) ? Optional.empty()
				: this.trials.tryClaim(suspected, now());
		if (claim.isEmpty()) {
			outcome.postponed();
			return;
		}
		List<EntryRecord> others = this.peers.others();
		if (others.isEmpty()) {
			start(claim.get(), traits, outcome);
			return;
		}
		this.peers.send(report(claim.get(), false), others);
		this.loop.schedule(() -> start(claim.get(), traits, outcome), ROUND_TRIP_MS, TimeUnit.MILLISECONDS);
	}

	private void start(Trial claim, Collection<Long> traits, Outcome outcome) {
		RequestVerdict verdict = verdict(traits);
		if (!verdict.mayRun()) {
			release(claim);
			outcome.held();
		}
		else if (!verdict.needsTrial()) {
			release(claim);
			outcome.admitted(Optional.empty());
		}
		else if (this.trials.tryStart(claim, now())) {
			logTraits("trial-started", claim.traits());
			outcome.admitted(Optional.of(claim));
		}
		else {
			outcome.postponed();
		}
	}

	/**
	 * Ends a trial, so that the next one can begin.
	 * @param trial the trial
	 */
	void release(Trial trial) {
		this.trials.release(trial);
		this.peers.send(report(trial, true), this.peers.others());
	}

	/**
	 * Records that a target has sent a whole response to a request.
	 * @param traits traits of the request
	 */
	void recordServed(Collection<Long> traits) {
		long now = now();
		List<Long> cleared = this.quarantine.recordServed(traits, now);
		if (!cleared.isEmpty()) {
			logTraits("parts-cleared", cleared);
			PartReport.Builder report = PartReport.newBuilder();
			cleared.forEach((trait) -> addServed(report, trait, now));
			this.peers.send(report.build(), this.peers.others());
		}
	}

	/**
	 * Records that a target crashed before the response to a request was whole.
	 * @param target the target
	 * @param traits traits of the request
	 * @param answering whether the target had sent a part of the response
	 */
	void recordCrash(TargetRecord target, Collection<Long> traits, boolean answering) {
		long crash = Hashing.komihash5_0().hashCharsToLong(target.id() + "/" + target.startedMs());
		Optional<CrashEvidence> added = this.quarantine.recordCrash(crash, traits, answering, now());
		if (added.isEmpty()) {
			return;
		}
		this.log.line(DecisionLog.Importance.STATE, "parts-suspected")
			.with("target", target.id())
			.with("parts", hex(added.get().traits()))
			.with("answering", Boolean.toString(answering))
			.write();
		announceCrashes(added.get().traits());
		// Once more, because a datagram can be lost.
		this.loop.schedule(() -> announceCrashes(added.get().traits()), ROUND_TRIP_MS, TimeUnit.MILLISECONDS);
		reportQuarantined();
	}

	private void announceCrashes(List<Long> traits) {
		PartReport.Builder report = PartReport.newBuilder();
		this.quarantine.evidence(traits, MAX_RELATED_RECORDS, now())
			.forEach((evidence) -> report.addCrashes(encode(evidence)));
		if (report.getCrashesCount() > 0) {
			this.peers.send(report.build(), this.peers.others());
		}
	}

	/**
	 * Handles a report of another entry.
	 * @param report the report
	 * @param reply sends a report back to it
	 */
	void handle(PartReport report, Consumer<PartReport> reply) {
		long now = now();
		PartReport.Builder response = PartReport.newBuilder();
		for (PartServed record : report.getServedList()) {
			this.quarantine.merge(new ServedTrait(record.getPart(), TimeUnit.MILLISECONDS.toNanos(record.getAgeMs())),
					now);
		}
		for (PartCrash record : report.getCrashesList()) {
			this.quarantine.merge(decode(record), now).forEach((trait) -> addServed(response, trait, now));
		}
		for (PartTrial record : report.getTrialsList()) {
			handleTrial(record, response, now);
		}
		if (report.getPull()) {
			this.quarantine.evidence(MAX_RECORDS, now).forEach((evidence) -> response.addCrashes(encode(evidence)));
		}
		if (response.getPull()
				|| response.getServedCount() + response.getCrashesCount() + response.getTrialsCount() > 0) {
			reply.accept(response.build());
		}
		reportQuarantined();
	}

	private void handleTrial(PartTrial record, PartReport.Builder response, long now) {
		if (!this.quarantine.hasEvidence(record.getPartsList())) {
			// The holder knows of a crash that was not reported here.
			response.setPull(true);
		}
		if (record.getEnded()) {
			this.trials.mergeEnd(record.getHolder(), record.getPartsList());
		}
		else if (!record.getRunning() && this.requests.isInFlight(record.getPartsList())) {
			response.addTrials(PartTrial.newBuilder()
				.addAllParts(record.getPartsList())
				.setHolder(this.self)
				.setRunning(true)
				.build());
		}
		else {
			this.trials.merge(record.getHolder(), record.getPartsList(), record.getRunning(), now)
				.ifPresent((own) -> response.addTrials(encode(own, false)));
		}
	}

	/**
	 * Begins to exchange evidence with the other entries.
	 */
	void start() {
		this.stallDetector.start();
		exchangeRegularly();
	}

	// Evidence that waited during the stall is read as if all crashes were of this
	// moment, and so of one cause. The responses state their age.
	private void pullAfterStall() {
		List<EntryRecord> others = new ArrayList<>(this.peers.others());
		PartReport pull = PartReport.newBuilder().setPull(true).build();
		for (int count = 0; count < STALL_PULLS && !others.isEmpty(); count++) {
			this.peers.send(pull, List.of(others.remove(this.random.nextInt(others.size()))));
		}
	}

	private void exchangeRegularly() {
		boolean pulls = this.exchanges < INITIAL_PULLS;
		exchange(pulls);
		this.loop.schedule(this::exchangeRegularly, (pulls) ? PULL_INTERVAL_MS : EXCHANGE_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	private void exchange(boolean pulls) {
		List<EntryRecord> others = this.peers.others();
		if (others.isEmpty() || (!pulls && !this.quarantine.hasSuspicions())) {
			return;
		}
		this.exchanges++;
		PartReport.Builder report = PartReport.newBuilder().setPull(pulls);
		this.quarantine.evidence(MAX_RECORDS, now()).forEach((evidence) -> report.addCrashes(encode(evidence)));
		this.peers.send(report.build(), List.of(others.get(this.random.nextInt(others.size()))));
	}

	private void reportQuarantined() {
		Set<Long> quarantined = this.quarantine.quarantinedTraits(now());
		Set<Long> added = new HashSet<>(quarantined);
		added.removeAll(this.quarantinedTraits);
		this.quarantinedTraits = quarantined;
		if (!added.isEmpty()) {
			logTraits("parts-quarantined", added);
			this.requests.rejectQuarantined();
		}
	}

	private void addServed(PartReport.Builder report, long trait, long now) {
		this.quarantine.servedRecord(trait, now)
			.ifPresent((served) -> report.addServed(PartServed.newBuilder()
				.setPart(served.trait())
				.setAgeMs((int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, served.ageNanos())))));
	}

	private static CrashEvidence decode(PartCrash record) {
		List<Long> traits = new ArrayList<>(record.getMorePartsCount() + 1);
		traits.add(record.getPart());
		traits.addAll(record.getMorePartsList());
		return new CrashEvidence(traits, record.getCrash(), record.getAnswering(),
				TimeUnit.MILLISECONDS.toNanos(record.getAgeMs()));
	}

	private static PartCrash encode(CrashEvidence evidence) {
		return PartCrash.newBuilder()
			.setPart(evidence.traits().get(0))
			.addAllMoreParts(evidence.traits().subList(1, evidence.traits().size()))
			.setCrash(evidence.crash())
			.setAnswering(evidence.answering())
			.setAgeMs((int) TimeUnit.NANOSECONDS.toMillis(evidence.ageNanos()))
			.build();
	}

	private static PartReport report(Trial trial, boolean ended) {
		return PartReport.newBuilder().addTrials(encode(trial, ended)).build();
	}

	private static PartTrial encode(Trial trial, boolean ended) {
		return PartTrial.newBuilder()
			.addAllParts(trial.traits())
			.setHolder(trial.holder())
			.setRunning(trial.running())
			.setEnded(ended)
			.build();
	}

	private void logTraits(String event, Collection<Long> traits) {
		this.log.line(DecisionLog.Importance.STATE, event).with("parts", hex(traits)).write();
	}

	private static String hex(Collection<Long> traits) {
		return traits.stream().map(Long::toHexString).collect(Collectors.joining(","));
	}

	/**
	 * The other entries of the fleet.
	 *
	 * @param entries supplies the entries
	 * @param sender sends a report to entries
	 */
	record Peers(Supplier<List<EntryRecord>> entries, BiConsumer<PartReport, List<EntryRecord>> sender) {

		List<EntryRecord> others() {
			return this.entries.get();
		}

		void send(PartReport report, List<EntryRecord> recipients) {
			this.sender.accept(report, recipients);
		}

	}

	/**
	 * The requests of this process.
	 */
	interface Requests {

		/**
		 * Returns whether a request with one of some traits waits for the first byte of
		 * its response.
		 * @param traits the traits
		 * @return whether there is one
		 */
		boolean isInFlight(Collection<Long> traits);

		/**
		 * Ends the requests that are quarantined now and on which no target has begun to
		 * respond.
		 */
		void rejectQuarantined();

	}

	/**
	 * Receives the decision on a request.
	 */
	interface Outcome {

		/**
		 * The request may run.
		 * @param trial the trial to release when its outcome is known, empty if the
		 * request is not suspected
		 */
		void admitted(Optional<Trial> trial);

		/**
		 * Another request with the suspected traits runs; this one may come back.
		 */
		void postponed();

		/**
		 * The request is quarantined.
		 */
		void held();

	}

}
