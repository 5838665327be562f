package org.baobabknot.architecture;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Checks that names defined by the users' platform appear only in the module {@code
 * platform}.
 */
class PlatformWordsTests {

	private static final Pattern PLATFORM_NAMES = Pattern.compile(String.join("|", "Response-" + "Seal",
			"Deadline-" + "Ms", "Token-" + "Counts", "Prefix-" + "Hash", "Expect-" + "Instance", "Expect-" + "Version",
			"Weight-" + "Versions", "Server-" + "Load", "Length-" + "Hint", "Not-" + "Executed", "Request-" + "Urgency",
			"kv-" + "(txn|watch|range|keep|lease|key)", "stage-" + "(put|get)", "op/" + "(config|evacuate|version)",
			"\"servers" + "/", "cold_" + "left_ms", "api_" + "keys", "max_" + "attempts", "gap_" + "goal_ms"));

	@Test
	void standInPlatformOnly() throws IOException {
		Path root = Path.of("").toAbsolutePath().getParent();
		List<String> filesWithPlatformNames = new ArrayList<>();
		int filesRead = 0;
		for (String module : List.of("core", "protocol", "daemon", "cli", "standins", "benchmarks")) {
			try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src"))) {
				for (Path file : files.filter((path) -> path.toString().endsWith(".java")).toList()) {
					filesRead++;
					if (PLATFORM_NAMES.matcher(Files.readString(file)).find()) {
						filesWithPlatformNames.add(root.relativize(file).toString());
					}
				}
			}
		}
		assertThat(filesRead, greaterThan(300));
		assertThat(filesWithPlatformNames, is(empty()));
	}

}
