package org.baobabknot.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberRole;
import org.baobabknot.membership.MemberState;
import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.record.Claim;
import org.baobabknot.record.ClaimCodec;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.RecordSettings;
import org.baobabknot.record.RequestRecord;
import org.baobabknot.record.StoredResponse;
import org.baobabknot.rollout.RolloutEntry;
import org.baobabknot.rollout.RolloutKey;
import org.baobabknot.rollout.RolloutPhase;
import org.baobabknot.rollout.RolloutTable;
import org.baobabknot.routing.AgentLoadReport;
import org.baobabknot.routing.Availability;
import org.baobabknot.routing.Balancer;
import org.baobabknot.routing.BalancerSettings;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;
import org.baobabknot.time.Timeline;
import org.baobabknot.time.TimelineEvent;

/**
 * Tables whose size grows with the fleet, its rules or its requests.
 */
enum MeasuredTable {

	/** Member list held by every process. */
	MEMBER(MeasuredTable::members),

	/** Rule set held by every process, with its text. */
	RULE(MeasuredTable::rules),

	/** Rollout entries held by an agent for its group. */
	ROLLOUT_ENTRY(MeasuredTable::rollout),

	/** Non-idempotent requests recorded by an agent, with responses of 200 bytes. */
	REQUEST_RECORD(MeasuredTable::requestRecords),

	/** Claims in one bucket, encoded as in the store. */
	CLAIM(MeasuredTable::claims),

	/** Events in the timeline of a process. */
	TIMELINE_EVENT(MeasuredTable::timeline),

	/** Agents in the routing table of an entry. */
	ROUTED_AGENT(MeasuredTable::balancer);

	private static final int SEED = 11;

	private static final int RESPONSE_BYTES = 200;

	private final IntFunction<Object> builder;

	MeasuredTable(IntFunction<Object> builder) {
		this.builder = builder;
	}

	String jsonName() {
		return name().toLowerCase(Locale.ROOT);
	}

	Object build(int elements) {
		return this.builder.apply(elements);
	}

	static Member member(int number) {
		String domain = "domain-" + number % 7;
		return new Member(instance(number), MemberRole.AGENT, domain, "region-" + number % 3,
				"10.0." + number % 250 + "." + number % 199, 7000 + number % 1000, "service-" + number % 5,
				MemberState.LIVE);
	}

	static String instance(int number) {
		return "agent-%05d".formatted(number);
	}

	static String rulesText(int rules) {
		StringBuilder text = new StringBuilder();
		for (int rule = 0; rule < rules; rule++) {
			text.append("workspace workspace-%05d service-%d share=2   # A. Huber: contract 2026-%05d%n".formatted(rule,
					rule % 5, rule));
		}
		return text.toString();
	}

	private static Object members(int count) {
		List<Member> members = new ArrayList<>(count);
		for (int number = 0; number < count; number++) {
			members.add(member(number));
		}
		MembershipView view = new MembershipView();
		view.apply(MemberUpdate.full(1, members));
		return view;
	}

	private static Object rules(int count) {
		RulesResult result = new RulesReader().read(rulesText(count));
		if (result instanceof RulesResult.Accepted accepted) {
			return accepted;
		}
		throw new IllegalStateException(result.toString());
	}

	private static Object rollout(int count) {
		RolloutTable view = new RolloutTable("self", 1);
		RolloutKey key = new RolloutKey("v2", 1);
		List<RolloutEntry> entries = new ArrayList<>(count);
		for (int number = 0; number < count; number++) {
			entries.add(new RolloutEntry(instance(number), 1, 1, key, RolloutPhase.READY, 0));
		}
		view.merge("peer", entries, 1);
		return view;
	}

	private static Object requestRecords(int count) {
		RequestRecord table = new RequestRecord(
				new RecordSettings(count + 1, Long.MAX_VALUE / 4, RESPONSE_BYTES, (long) (count + 1) * RESPONSE_BYTES),
				1);
		Random random = new Random(SEED);
		for (int number = 0; number < count; number++) {
			Hash128 id = new Hash128(random.nextLong(), random.nextLong());
			table.register(id, new Hash128(random.nextLong(), number), id, number);
			table.markClaimed(id);
			table.tryHandOver(id);
			table.storeResponse(id, new StoredResponse(200, List.of(Map.entry("content-type", "application/json")),
					"v1", "", new byte[RESPONSE_BYTES]), number);
		}
		return table;
	}

	private static Object claims(int count) {
		Random random = new Random(SEED);
		List<Claim> claims = new ArrayList<>(count);
		for (int number = 0; number < count; number++) {
			claims.add(new Claim(new Hash128(random.nextLong(), random.nextLong()), instance(number % 50),
					1_796_000_000_000L, number, 1_796_000_000L));
		}
		return ClaimCodec.encode(claims);
	}

	private static Object timeline(int count) {
		Timeline timeline = new Timeline(count);
		for (int number = 0; number < count; number++) {
			timeline.append(new TimelineEvent(number, instance(1), "rules.adopted",
					"revision %d from %s".formatted(number, instance(number))));
		}
		return timeline;
	}

	private static Object balancer(int count) {
		Balancer balancer = new Balancer(BalancerSettings.defaults("domain-0"), new Random(SEED));
		for (int number = 0; number < count; number++) {
			balancer.add(instance(number), "service-1", "domain-" + number % 7);
			balancer.update(instance(number), new AgentLoadReport(1, 0, 8, Availability.OPEN, 1_000_000), 1);
		}
		return balancer;
	}

}
