package org.baobabknot.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.protocol.generated.PartCrash;
import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.protocol.generated.PartServed;
import org.baobabknot.quarantine.CrashEvidence;
import org.baobabknot.quarantine.PartQuarantine;
import org.baobabknot.quarantine.PromptVerdict;
import org.baobabknot.quarantine.ServedPart;

/**
 * Holds back requests with parts of prompts under which targets crash. Exchanges evidence
 * with the other entries: new evidence goes to all of them at once, and the evidence
 * known so far to one of them from time to time, which replaces lost datagrams. Confined
 * to one event loop.
 */
final class PromptGuard {

	/** Interval in which evidence is sent to another entry, in ms. */
	static final long EXCHANGE_INTERVAL_MS = 500;

	/** Exchanges after the start in which evidence is requested. */
	private static final int INITIAL_PULLS = 8;

	/** Records in one datagram, so that it fits into one packet of a usual network. */
	private static final int MAX_RECORDS = 48;

	private static final int MAX_ANNOUNCED_PARTS = 256;

	private final PartQuarantine quarantine = new PartQuarantine();

	private final Ticker ticker;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final Supplier<List<EntryRecord>> otherEntries;

	private final BiConsumer<PartReport, List<EntryRecord>> sender;

	private final Runnable onQuarantine;

	/** Suspected parts of which this process sent the first evidence. */
	private final Set<Long> announcedParts = new HashSet<>();

	/** Parts whose quarantine was reported. */
	private Set<Long> quarantinedParts = Set.of();

	private int exchanges;

	/**
	 * Creates a guard without evidence.
	 * @param ticker monotonic clock
	 * @param log log of decisions
	 * @param random chooses the entry of an exchange
	 * @param otherEntries supplies the other entries of the fleet
	 * @param sender sends a report to entries
	 * @param onQuarantine called when a part was quarantined
	 */
	PromptGuard(Ticker ticker, DecisionLog log, RandomGenerator random, Supplier<List<EntryRecord>> otherEntries,
			BiConsumer<PartReport, List<EntryRecord>> sender, Runnable onQuarantine) {
		this.ticker = ticker;
		this.log = log;
		this.random = random;
		this.otherEntries = otherEntries;
		this.sender = sender;
		this.onQuarantine = onQuarantine;
	}

	PromptVerdict verdict(Collection<Long> parts) {
		return this.quarantine.verdict(parts, this.ticker.nanoTime());
	}

	/**
	 * Returns the parts of a prompt that were in one crash.
	 * @param parts parts of the prompt
	 * @return the suspected ones
	 */
	List<Long> suspectedParts(Collection<Long> parts) {
		return this.quarantine.partsWith(parts, PromptVerdict.SUSPECTED, this.ticker.nanoTime());
	}

	/**
	 * Decides whether a request is refused because of its prompt.
	 * @param parts parts of the prompt
	 * @param anotherInFlight whether a request with a suspected part of it is in flight
	 * @param retryAfterMs supplies the time after which a suspected request may return
	 * @return the error response, empty if the request may be sent
	 */
	Optional<ErrorResponse> refusal(Collection<Long> parts, boolean anotherInFlight, LongSupplier retryAfterMs) {
		PromptVerdict verdict = verdict(parts);
		if (verdict.mayStart(anotherInFlight)) {
			return Optional.empty();
		}
		return Optional.of((verdict == PromptVerdict.QUARANTINED) ? ErrorResponse.harmfulPrompt() : ErrorResponse
			.notRun("part-suspected", "a target crashed under a part of the prompt", retryAfterMs.getAsLong()));
	}

	/**
	 * Records that a target has written a response on a prompt.
	 * @param parts parts of the prompt
	 */
	void recordServed(Collection<Long> parts) {
		long now = this.ticker.nanoTime();
		List<Long> cleared = this.quarantine.recordServed(parts, now);
		if (!cleared.isEmpty()) {
			logParts("parts-cleared", cleared);
			announceServed(cleared, now);
		}
	}

	/**
	 * Records that a target crashed before it had written a response on a prompt.
	 * @param target the target
	 * @param parts parts of the prompt
	 */
	void recordCrash(TargetRecord target, Collection<Long> parts) {
		long now = this.ticker.nanoTime();
		long crash = Hashing.komihash5_0().hashCharsToLong(target.id() + "/" + target.startedMs());
		List<CrashEvidence> added = this.quarantine.recordCrash(crash, parts, now);
		if (added.isEmpty()) {
			return;
		}
		List<Long> addedParts = added.stream().map(CrashEvidence::part).toList();
		if (this.announcedParts.size() < MAX_ANNOUNCED_PARTS) {
			this.announcedParts.addAll(addedParts);
		}
		this.log.line(DecisionLog.Importance.STATE, "parts-suspected")
			.with("target", target.id())
			.with("parts", hex(addedParts))
			.write();
		this.sender.accept(report(added), this.otherEntries.get());
		reportQuarantined();
	}

	/**
	 * Handles a report of another entry.
	 * @param report the report
	 * @param reply sends a report back to it
	 */
	void handle(PartReport report, Consumer<PartReport> reply) {
		long now = this.ticker.nanoTime();
		PartReport.Builder response = PartReport.newBuilder();
		for (PartServed record : report.getServedList()) {
			ServedPart served = new ServedPart(record.getPart(), TimeUnit.MILLISECONDS.toNanos(record.getAgeMs()));
			if (this.quarantine.merge(served, now) && this.announcedParts.contains(served.part())) {
				announceServed(List.of(served.part()), now);
			}
		}
		for (PartCrash record : report.getCrashesList()) {
			CrashEvidence evidence = new CrashEvidence(record.getPart(), record.getCrash(),
					TimeUnit.MILLISECONDS.toNanos(record.getAgeMs()));
			if (this.quarantine.merge(evidence, now)) {
				response.addServed(encode(this.quarantine.servedRecord(evidence.part(), now)));
			}
		}
		if (report.getPull()) {
			this.quarantine.evidence(MAX_RECORDS, now).forEach((evidence) -> response.addCrashes(encode(evidence)));
		}
		if (response.getServedCount() + response.getCrashesCount() > 0) {
			reply.accept(response.build());
		}
		reportQuarantined();
	}

	/**
	 * Sends the evidence to another entry. Called at regular intervals.
	 */
	void exchange() {
		List<EntryRecord> others = this.otherEntries.get();
		boolean pulls = this.exchanges < INITIAL_PULLS;
		if (others.isEmpty() || (!pulls && !this.quarantine.hasSuspicions())) {
			return;
		}
		this.exchanges++;
		List<CrashEvidence> evidence = this.quarantine.evidence(MAX_RECORDS, this.ticker.nanoTime());
		this.sender.accept(report(evidence).toBuilder().setPull(pulls).build(),
				List.of(others.get(this.random.nextInt(others.size()))));
	}

	private void reportQuarantined() {
		Set<Long> quarantined = this.quarantine.quarantinedParts(this.ticker.nanoTime());
		List<Long> added = quarantined.stream().filter((part) -> !this.quarantinedParts.contains(part)).toList();
		this.quarantinedParts = quarantined;
		if (!added.isEmpty()) {
			logParts("parts-quarantined", added);
			this.onQuarantine.run();
		}
	}

	private void announceServed(List<Long> parts, long now) {
		PartReport.Builder report = PartReport.newBuilder();
		parts.forEach((part) -> report.addServed(encode(this.quarantine.servedRecord(part, now))));
		parts.forEach(this.announcedParts::remove);
		this.sender.accept(report.build(), this.otherEntries.get());
	}

	private static PartReport report(List<CrashEvidence> evidence) {
		PartReport.Builder report = PartReport.newBuilder();
		evidence.forEach((record) -> report.addCrashes(encode(record)));
		return report.build();
	}

	private static PartCrash encode(CrashEvidence evidence) {
		return PartCrash.newBuilder()
			.setPart(evidence.part())
			.setCrash(evidence.crash())
			.setAgeMs((int) TimeUnit.NANOSECONDS.toMillis(evidence.ageNanos()))
			.build();
	}

	private static PartServed encode(ServedPart served) {
		return PartServed.newBuilder()
			.setPart(served.part())
			.setAgeMs((int) TimeUnit.NANOSECONDS.toMillis(served.ageNanos()))
			.build();
	}

	private void logParts(String event, List<Long> parts) {
		this.log.line(DecisionLog.Importance.STATE, event).with("parts", hex(parts)).write();
	}

	private static String hex(List<Long> parts) {
		return parts.stream().map(Long::toHexString).collect(Collectors.joining(","));
	}

}
