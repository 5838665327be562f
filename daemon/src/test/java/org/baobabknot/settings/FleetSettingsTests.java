package org.baobabknot.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests reading the settings of processes on the users' platform, with the templates that
 * are deployed.
 */
class FleetSettingsTests {

	private static final Map<String, String> PLACEHOLDER_VALUES = Map.ofEntries(Map.entry("node_name|json", "\"n-1\""),
			Map.entry("zone|json", "\"a\""), Map.entry("region|json", "\"ra\""),
			Map.entry("zones|json", "{\"a\":\"ra\"}"), Map.entry("ip|json", "\"10.0.0.1\""),
			Map.entry("listen.front|json", "\"10.0.0.1:8005\""), Map.entry("listen.ready|json", "\"10.0.0.1:8002\""),
			Map.entry("provider.address|json", "\"10.9.0.1:8007\""), Map.entry("provider.writes_per_s", "400"),
			Map.entry("provider.reads_per_s", "2000"), Map.entry("port_range.0", "7700"),
			Map.entry("port_range.1", "7715"), Map.entry("bounds.config_apply_ms", "2000"),
			Map.entry("bounds.revoke_ms", "5000"), Map.entry("bounds.version_ms", "8000"),
			Map.entry("bounds.grace_s", "8"), Map.entry("bounds.retry_budget_ratio", "0.2"),
			Map.entry("bounds.budget_window_s", "10"), Map.entry("bounds.budget_min_retries", "234"),
			Map.entry("bounds.cold_overshoot", "1.5"), Map.entry("bounds.cold_slack", "5"),
			Map.entry("heartbeat_ms", "1200"), Map.entry("limits.max_fds", "2069"),
			Map.entry("limits.link_mbps", "489.99"), Map.entry("app|json", "\"10.0.0.1:8001\""),
			Map.entry("service|json", "\"s1\""));

	@TempDir
	private Path directory;

	private String template(String name) throws IOException {
		String text = Files.readString(Path.of("").toAbsolutePath().getParent().resolve("deploy").resolve(name));
		for (Map.Entry<String, String> entry : PLACEHOLDER_VALUES.entrySet()) {
			text = text.replace("{{" + entry.getKey() + "}}", entry.getValue());
		}
		assertThat("placeholders left in " + name, text.contains("{{"), is(false));
		return text;
	}

	private FleetSettingsReader.Result read(String text) throws IOException {
		Path file = this.directory.resolve("settings.json");
		Files.writeString(file, text);
		return FleetSettingsReader.read(file);
	}

	@Test
	void gatewayTemplateIsValid() throws IOException {
		FleetSettingsReader.Result result = read(template("gateway.json"));
		assertThat(result, instanceOf(FleetSettingsReader.Result.Accepted.class));
		FleetSettings settings = ((FleetSettingsReader.Result.Accepted) result).settings();
		assertThat(settings.role(), is(FleetSettings.FleetRole.GATEWAY));
		assertThat(settings.callerAddress().orElseThrow().port(), is(8005));
		assertThat(settings.bounds().shutdownMs(), is(8_000L));
		assertThat(settings.bounds().retryWindowMs(), is(10_000L));
	}

	@Test
	void loaderTemplateIsValid() throws IOException {
		FleetSettingsReader.Result result = read(template("loader.json"));
		assertThat(result, instanceOf(FleetSettingsReader.Result.Accepted.class));
		FleetSettings settings = ((FleetSettingsReader.Result.Accepted) result).settings();
		assertThat(settings.engine().orElseThrow().service(), is("s1"));
		assertThat(settings.resources().linkBytesPerSecond(), is(61_248_750L));
	}

	// Guards against a process that ends at its start because the platform states a bound
	// with a fraction.
	@ParameterizedTest
	@ValueSource(strings = { "gateway.json", "loader.json" })
	void boundsMayHaveFractions(String name) throws IOException {
		FleetSettingsReader.Result result = read(template(name).replace(" 8e3", " 7.5e3")
			.replace(" 10e3", " 0.25e3")
			.replace("\"keyMs\": 5000", "\"keyMs\": 5000.0")
			.replace("\"heartbeatMs\": 1200", "\"heartbeatMs\": 1200.0"));
		assertThat(result, instanceOf(FleetSettingsReader.Result.Accepted.class));
		FleetSettings.Bounds bounds = ((FleetSettingsReader.Result.Accepted) result).settings().bounds();
		assertThat(bounds.shutdownMs(), is(7_500L));
		assertThat(bounds.retryWindowMs(), is(250L));
		assertThat(bounds.keyMs(), is(5_000L));
		assertThat(bounds.heartbeatMs(), is(1_200L));
	}

	@Test
	void everyErrorIsReportedWithItsPath() throws IOException {
		String text = template("gateway.json").replace("\"10.0.0.1:8005\"", "\"nowhere\"")
			.replace("\"keyMs\": 5000", "\"keyMs\": \"soon\"")
			.replace("\"peerPort\"", "\"peerPrt\"");
		FleetSettingsReader.Result result = read(text);
		assertThat(result, instanceOf(FleetSettingsReader.Result.Rejected.class));
		List<SettingsError> errors = ((FleetSettingsReader.Result.Rejected) result).errors();
		String errorText = errors.toString();
		assertThat(errorText, containsString("callers"));
		assertThat(errorText, containsString("bounds.keyMs"));
		assertThat(errorText, containsString("peerPrt"));
		assertThat(errorText, containsString("did you mean"));
	}

	@Test
	void contentOtherThanAJsonObjectIsRejected() throws IOException {
		assertThat(read("{"), instanceOf(FleetSettingsReader.Result.Rejected.class));
		assertThat(read("[]"), instanceOf(FleetSettingsReader.Result.Rejected.class));
		assertThat(FleetSettingsReader.read(this.directory.resolve("missing")),
				instanceOf(FleetSettingsReader.Result.Rejected.class));
	}

}
