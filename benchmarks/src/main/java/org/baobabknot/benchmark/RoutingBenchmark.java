package org.baobabknot.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGeneratorFactory;

import org.baobabknot.retry.RetryBudget;
import org.baobabknot.routing.AgentChoice;
import org.baobabknot.routing.AgentLoadReport;
import org.baobabknot.routing.AgentSubset;
import org.baobabknot.routing.Availability;
import org.baobabknot.routing.Balancer;
import org.baobabknot.routing.BalancerSettings;
import org.baobabknot.routing.Instance;
import org.baobabknot.routing.RoutingRequest;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of choosing an agent, of the retry budget, and of choosing the
 * connections of an entry.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RoutingBenchmark {

	private static final int FAILURE_DOMAINS = 7;

	/**
	 * Agents that the entry is connected to; about 100 at the target size.
	 */
	@Param({ "11", "100" })
	private int agents;

	private final RetryBudget budget = new RetryBudget(0.1, 1);

	private final RoutingRequest loadBasedRequest = RoutingRequest.of("advice");

	private final List<Instance> entries = instances("entry", 370);

	private final List<Instance> fleet = instances("agent", 4400);

	private Balancer balancer = newBalancer();

	private long now;

	private int prefix;

	private static Balancer newBalancer() {
		return new Balancer(BalancerSettings.defaults("domain-0"),
				RandomGeneratorFactory.of("L64X128MixRandom").create(1));
	}

	private static List<Instance> instances(String kind, int count) {
		List<Instance> instances = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			instances.add(new Instance(kind + "-" + i, "domain-" + i % FAILURE_DOMAINS));
		}
		return instances;
	}

	/**
	 * Fills the routing table, with half of the agents in the failure domain of the
	 * entry.
	 */
	@Setup
	public void addAgents() {
		this.balancer = newBalancer();
		for (int i = 0; i < this.agents; i++) {
			this.balancer.add("agent-" + i, "advice", "domain-" + i % 2);
			this.balancer.update("agent-" + i, new AgentLoadReport(i % 5, 0, 16, Availability.OPEN, 1_000_000), 0);
		}
	}

	/**
	 * Chooses by load, starts and ends one request.
	 * @return the choice
	 */
	@Benchmark
	public Optional<AgentChoice> chooseByLoad() {
		return route(this.loadBasedRequest);
	}

	/**
	 * Chooses by the prefix of a prompt, starts and ends one request.
	 * @return the choice
	 */
	@Benchmark
	public Optional<AgentChoice> chooseByPrefix() {
		this.prefix = (this.prefix + 1) % 64;
		return route(RoutingRequest.withPrefix("advice", "prefix-" + this.prefix));
	}

	private Optional<AgentChoice> route(RoutingRequest request) {
		this.now += 1000;
		Optional<AgentChoice> choice = this.balancer.choose(request, Set.of(), this.now);
		choice.ifPresent((chosen) -> {
			this.balancer.recordStart(chosen.agent());
			this.balancer.recordResult(chosen.agent(), true, 1_000_000, this.now);
		});
		return choice;
	}

	/**
	 * Deposits for one request and withdraws one retry.
	 * @return whether the retry is allowed
	 */
	@Benchmark
	public boolean retryBudget() {
		this.budget.deposit();
		return this.budget.tryWithdraw(this.now++);
	}

	/**
	 * Chooses the connections of one entry to 4,400 agents of one service among 370
	 * entries in 7 failure domains.
	 * @return the number of connections
	 */
	@Benchmark
	public int subsetAtTargetSize() {
		return AgentSubset.agentsFor(this.entries.get(0), this.entries, this.fleet).size();
	}

}
