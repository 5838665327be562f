package org.baobabknot.agent.weights;

import org.baobabknot.weights.Manifest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests how much a rollout fetches from the origin, over real sockets.
 */
class AgentWeightsOriginTests {

	private static final int AGENTS = 5;

	private final WeightsFixture fixture = new WeightsFixture();

	private final Manifest first = this.fixture.publish("v1", 1);

	private final Manifest second = this.fixture.publish("v2", 2);

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	// Guards against a rollout that overloads the origin because the agents do not fetch
	// from each other.
	@Test
	void fetchesLittleMoreThanOneCopyFromTheOrigin() throws Exception {
		for (int index = 0; index < AGENTS; index++) {
			this.fixture.startEngine("agent-" + index, this.first);
			this.fixture.startAgent("agent-" + index, "d" + index % 2);
		}
		this.fixture.await("all agents are in the member lists",
				() -> this.fixture.agents.values()
					.stream()
					.allMatch((agent) -> agent.context().membership().members().size() == AGENTS),
				this.fixture::describe);
		this.fixture.adoptModelRule(this.first, 1);
		this.fixture.awaitAll(this.first);
		double before = this.fixture.originCopies();
		this.fixture.adoptModelRule(this.second, 1);
		this.fixture.awaitAll(this.second);
		assertThat(this.fixture.originCopies() - before, lessThanOrEqualTo(1.2));
	}

}
