package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests the settings of the stand-ins and the control of faults over HTTP.
 */
class StandinSetTests {

	private final StandinFixture fixture = new StandinFixture();

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private StandinSet start(String json) throws Exception {
		return this.fixture.closeAfterTest(StandinSet.start(this.fixture.group(), new ObjectMapper().readTree(json)));
	}

	private HttpResult.Response call(int port, String method, String path, String body) throws Exception {
		return (HttpResult.Response) this.fixture.client(port)
			.send(HttpCall.of(method, path, Duration.ofSeconds(10)), body.getBytes(StandardCharsets.UTF_8))
			.get(20, TimeUnit.SECONDS);
	}

	// Guards against a typo in the settings that silently changes an experiment.
	@Test
	void wrongSettingsAreReportedWithTheirPath() throws Exception {
		String message = "";
		try {
			start("{\"standins\":[{\"kind\":\"stor\"},{\"kind\":\"engine\",\"service\":\"s\","
					+ "\"failure_domain\":\"a\",\"cold_limt\":2,\"capacity\":0}]}");
		}
		catch (IllegalArgumentException ex) {
			message = ex.getMessage();
		}
		assertThat(message, containsString("settings.standins[0].kind: expected store"));
		assertThat(message, containsString("settings.standins[1].cold_limt: unknown"));
		assertThat(message, containsString("settings.standins[1].capacity: expected a whole number"));
	}

	// Guards against a kind of stand-in that cannot be started from settings.
	@Test
	void everyKindStartsAndServesItsRecord() throws Exception {
		StandinSet set = start("{\"standins\":[{\"kind\":\"store\"},{\"kind\":\"members\",\"lag_ms\":5},"
				+ "{\"kind\":\"origin\",\"models\":[{\"service\":\"s\",\"version\":\"v1\",\"size\":1000}]},"
				+ "{\"kind\":\"engine\",\"service\":\"s\",\"failure_domain\":\"a\",\"token_ms\":0.5},"
				+ "{\"kind\":\"plain\",\"service\":\"p\",\"failure_domain\":\"a\"},"
				+ "{\"kind\":\"links\",\"pairs\":[{\"from\":\"a\",\"to\":\"b\",\"delay_ms\":1}]}]}");
		assertThat(set.ports().path("ports").size(), equalTo(6));
		for (String name : new String[] { "store", "members", "origin", "engine", "plain", "links" }) {
			assertThat(call(set.server(name).port(), "GET", "/record", "").head().status(), equalTo(200));
		}
	}

	// Guards against a misspelt fault that is accepted and never takes effect.
	@Test
	void faultsAreSwitchedOverHttp() throws Exception {
		int port = start("{\"standins\":[{\"kind\":\"store\"}]}").server("store").port();
		assertThat(call(port, "POST", "/fault", "{\"kind\":\"outtage\"}").head().status(), equalTo(400));
		assertThat(call(port, "POST", "/fault", "{\"kind\":\"outage\"}").head().status(), equalTo(200));
		assertThat(call(port, "GET", "/v1/kv/a", "").head().status(), equalTo(503));
		assertThat(call(port, "DELETE", "/fault?kind=outage", "").head().status(), equalTo(200));
		assertThat(call(port, "GET", "/v1/kv/a", "").head().status(), equalTo(404));
		assertThat(call(port, "POST", "/fault", "{\"kind\":\"kill\"}").head().status(), equalTo(200));
	}

	// Guards against stand-ins that use too many resources for a fleet in one process.
	@Test
	void twoHundredEnginesFitInOneProcess() throws Exception {
		StringBuilder json = new StringBuilder("{\"standins\":[");
		for (int index = 0; index < 200; index++) {
			json.append((index > 0) ? "," : "")
				.append("{\"kind\":\"engine\",\"name\":\"e")
				.append(index)
				.append("\",\"service\":\"s\",\"failure_domain\":\"a\"}");
		}
		StandinSet set = start(json.append("]}").toString());
		assertThat(call(set.server("e199").port(), "GET", "/v1/status", "").head().status(), equalTo(200));
	}

}
