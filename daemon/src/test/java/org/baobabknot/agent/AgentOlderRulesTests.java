package org.baobabknot.agent;

import java.util.concurrent.TimeUnit;

import org.baobabknot.settings.Settings.TargetKind;
import org.baobabknot.standin.plain.PlainSettings;
import org.baobabknot.standin.plain.PlainStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests an agent whose rules are older than those of the entry.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AgentOlderRulesTests {

	// Guards against a refusal by outdated rules that ends a request at every agent.
	@Test
	void doNotRefuseAWorkspaceForAllAgents() throws Exception {
		try (AgentFixture fixture = new AgentFixture()) {
			PlainStandin service = new PlainStandin(PlainSettings.of(AgentFixture.SERVICE, "sindh"));
			EntryClient client = fixture
				.entryClient(fixture.startAgent("agent-1", fixture.start(service), TargetKind.PLAIN, 4, 4, 10));
			EntryClient.Response response = client
				.send(EntryClient.request("GET", "/stock", "added").setRulesRevision(2), "")
				.get(20, TimeUnit.SECONDS);
			assertThat(response.kind(), is("REFUSED_UNAVAILABLE"));
		}
	}

}
