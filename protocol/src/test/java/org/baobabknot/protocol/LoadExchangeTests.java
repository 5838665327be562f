package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Load;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link LoadExchange}.
 */
class LoadExchangeTests {

	private final LoadExchange agent = new LoadExchange();

	private final LoadExchange entry = new LoadExchange();

	// Guards against an entry that routes by the version from before a switch.
	@Test
	void decodesEveryLoad() {
		for (Load load : new Load[] { load("v1", 1), load("v1", 2), load("v2", 3), load("v2", 3), load("", 0) }) {
			assertThat(this.entry.decode(this.agent.encode(load)), is(load));
		}
	}

	// Guards against pongs that exceed the control traffic budget of an entry with
	// 130 connections.
	@Test
	void omitsARepeatedIdentity() {
		this.agent.encode(load("v1", 1));
		assertThat(this.agent.encode(load("v1", 2)).getSerializedSize(), lessThan(20));
	}

	private static Load load(String version, int running) {
		return Load.newBuilder()
			.setService("translation")
			.setVersion(version)
			.setDigest("a".repeat(64))
			.setRunning(running)
			.setLimit(64)
			.build();
	}

}
