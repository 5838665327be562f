package org.baobabknot.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link Balancer}.
 */
class BalancerTests {

	private static final RoutingRequest WITHOUT_AFFINITY = RoutingRequest.of("advice");

	private static final long MILLIS = 1_000_000;

	private final Balancer balancer = new Balancer(BalancerSettings.defaults("sindh"),
			RandomGeneratorFactory.of("L64X128MixRandom").create(5));

	@BeforeEach
	void addAgents() {
		for (int i = 0; i < 4; i++) {
			this.balancer.add("sindh-" + i, "advice", "sindh");
			this.balancer.add("punjab-" + i, "advice", "punjab");
			report("sindh-" + i, 0);
			report("punjab-" + i, 0);
		}
	}

	private void report(String agent, int running) {
		this.balancer.update(agent, new AgentLoadReport(running, 0, 10, Availability.OPEN, MILLIS), 0);
	}

	private Map<String, Integer> count(RoutingRequest request, int requests) {
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < requests; i++) {
			AgentChoice choice = this.balancer.choose(request, Set.of(), 0).orElseThrow();
			counts.merge(choice.agent(), 1, Integer::sum);
			counts.merge(choice.failureDomain(), 1, Integer::sum);
			this.balancer.recordStart(choice.agent());
			this.balancer.recordResult(choice.agent(), true, MILLIS, 0);
			report(choice.agent(), 0);
		}
		return counts;
	}

	@Nested
	class Domains {

		// Guards against requests to other domains that the own domain can handle.
		@Test
		void ownDomainIsPreferred() {
			assertThat(count(WITHOUT_AFFINITY, 100).get("sindh"), is(100));
		}

		// Guards against an overloaded domain while others are idle.
		@Test
		void otherDomainsAreUsedUnderPressure() {
			for (int i = 0; i < 4; i++) {
				report("sindh-" + i, 10);
			}
			assertThat(BalancerTests.this.balancer.choose(WITHOUT_AFFINITY, Set.of(), 0).orElseThrow().kind(),
					is(AgentChoice.Kind.SPILLED));
		}

		// Guards against new requests to a domain that is out of service.
		@Test
		void domainsOutOfServiceAreSkipped() {
			BalancerTests.this.balancer.domainsOut(Set.of("sindh"));
			assertThat(count(WITHOUT_AFFINITY, 100).get("punjab"), is(100));
			BalancerTests.this.balancer.domainsOut(Set.of("sindh", "punjab"));
			assertThat(BalancerTests.this.balancer.choose(WITHOUT_AFFINITY, Set.of(), 0), is(Optional.empty()));
		}

	}

	@Nested
	class Agents {

		// Guards against new requests to a leaving agent.
		@Test
		void leavingAgentsAreSkipped() {
			BalancerTests.this.balancer.markLeaving("sindh-0", true);
			BalancerTests.this.balancer.update("sindh-1", new AgentLoadReport(0, 0, 10, Availability.LEAVING, 0), 0);
			Map<String, Integer> counts = count(WITHOUT_AFFINITY, 100);
			assertThat(counts.keySet(), is(Set.of("sindh", "sindh-2", "sindh-3")));
		}

		// Guards against sending every request to a failing agent first.
		@Test
		void agentsAreAvoidedAfterAFailure() {
			BalancerTests.this.balancer.recordStart("sindh-0");
			BalancerTests.this.balancer.recordResult("sindh-0", false, 0, 0);
			assertThat(count(WITHOUT_AFFINITY, 200).containsKey("sindh-0"), is(false));
		}

		// Guards against a slow agent that gets as many requests as the others.
		@Test
		void slowAgentsGetFewerRequests() {
			BalancerTests.this.balancer.recordStart("sindh-0");
			BalancerTests.this.balancer.recordResult("sindh-0", true, 100 * MILLIS, 0);
			assertThat(count(WITHOUT_AFFINITY, 400).getOrDefault("sindh-0", 0), lessThan(10));
		}

		// Guards against an entry that refuses requests although failed agents may have
		// recovered.
		@Test
		void failedAgentsAreUsedAsALastResort() {
			for (String domain : List.of("sindh", "punjab")) {
				for (int i = 0; i < 4; i++) {
					BalancerTests.this.balancer.recordStart(domain + "-" + i);
					BalancerTests.this.balancer.recordResult(domain + "-" + i, false, 0, 0);
				}
			}
			assertThat(BalancerTests.this.balancer.choose(WITHOUT_AFFINITY, Set.of(), 0).orElseThrow().kind(),
					is(AgentChoice.Kind.LAST_RESORT));
		}

	}

	@Nested
	class Affinity {

		// Guards against prompts with the same prefix being spread over the caches of all
		// targets.
		@Test
		void requestsWithOnePrefixShareAnAgent() {
			assertThat(count(RoutingRequest.withPrefix("advice", "circular 7"), 100).size(), is(2));
		}

		// Guards against a popular prefix that overloads one agent.
		@Test
		void prefixAffinityYieldsToLoad() {
			RoutingRequest request = RoutingRequest.withPrefix("advice", "circular 7");
			Set<String> used = new HashSet<>();
			for (int i = 0; i < 40; i++) {
				String agent = BalancerTests.this.balancer.choose(request, Set.of(), 0).orElseThrow().agent();
				BalancerTests.this.balancer.recordStart(agent);
				used.add(agent);
			}
			assertThat(used.size(), greaterThan(3));
		}

	}

}
