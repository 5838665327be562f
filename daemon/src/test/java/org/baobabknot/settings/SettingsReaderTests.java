package org.baobabknot.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests reading valid and invalid settings files.
 */
class SettingsReaderTests {

	private static final String ENTRY_SETTINGS = """
			{"role": "entry", "instance": "e1", "failureDomain": "sindh", "region": "sindh",
			 "listen": {"host": "127.0.0.1", "port": 0}, "operator": {"host": "127.0.0.1", "port": 0},
			 "http": {"host": "127.0.0.1", "port": 0},
			 "platform": {"store": "http://127.0.0.1:1", "members": "http://127.0.0.1:2"},
			 "tls": {"enabled": false}}
			""";

	@TempDir
	Path directory;

	private SettingsResult read(String text) throws IOException {
		Path file = this.directory.resolve("settings.json");
		Files.writeString(file, text);
		return SettingsReader.read(file);
	}

	private List<String> errors(String text) throws IOException {
		SettingsResult result = read(text);
		assertThat(result, instanceOf(SettingsResult.Rejected.class));
		return ((SettingsResult.Rejected) result).errors().stream().map(SettingsError::toString).toList();
	}

	// Guards against missing defaults when the optional sections are omitted.
	@Test
	void entryWithoutOptionalSectionsIsAccepted() throws IOException {
		SettingsResult result = read(ENTRY_SETTINGS);
		assertThat(result, instanceOf(SettingsResult.Accepted.class));
		Settings settings = ((SettingsResult.Accepted) result).settings();
		assertThat(settings.timeouts().balancerLagMs(), is(5000));
		assertThat(settings.tls().isEmpty(), is(true));
	}

	// Guards against a misspelled key that is ignored, so that the default applies.
	@Test
	void unknownKeyIsRefusedWithTheNearestName() throws IOException {
		List<String> errors = errors(ENTRY_SETTINGS.replace("\"tls\"", "\"timeouts\": {\"requstMs\": 5}, \"tls\""));
		assertThat(errors, contains(containsString("timeouts.requstMs")));
		assertThat(errors.get(0), containsString("did you mean \"requestMs\"?"));
	}

	// Guards against reporting only the first error of a file, so that an operator has
	// to correct it error by error.
	@Test
	void allErrorsAreReportedWithPathAndExpectedValue() throws IOException {
		List<String> errors = errors(ENTRY_SETTINGS.replace("\"e1\"", "\"a b\"")
			.replace("\"http\": {\"host\": \"127.0.0.1\", \"port\": 0}",
					"\"http\": {\"host\": \"127.0.0.1\", \"port\": 70000}")
			.replace("http://127.0.0.1:1", "ftp://x"));
		assertThat(errors.size(), is(3));
		assertThat(errors, hasItem("http.port: found 70000, expected a whole number from 0 to 65535"));
		assertThat(errors, hasItem(containsString("platform.store: found \"ftp://x\", expected a URL")));
	}

	// Guards against plain TCP when the setting is omitted.
	@Test
	void tlsIsEnabledByDefault() throws IOException {
		List<String> errors = errors(ENTRY_SETTINGS.replace("\"tls\": {\"enabled\": false}", "\"tls\": {}"));
		assertThat(errors, hasItem(containsString("tls.certificate: found nothing, expected the path")));
	}

	// Guards against an entry that is started with the settings of an agent.
	@Test
	void sectionOfTheOtherRoleIsRefused() throws IOException {
		List<String> errors = errors(ENTRY_SETTINGS.replace("\"tls\"", "\"target\": {}, \"tls\""));
		assertThat(errors, contains("target: found a section, expected no such section for an entry"));
	}

	// Guards against a stack trace for a file that is not valid JSON.
	@Test
	void malformedJsonIsReportedWithItsPosition() throws IOException {
		assertThat(errors("{\"role\": ").get(0), containsString("line 1, column"));
		assertThat(errors(ENTRY_SETTINGS.replace("\"region\"", "\"instance\"")).get(0), containsString("line 1"));
	}

}
