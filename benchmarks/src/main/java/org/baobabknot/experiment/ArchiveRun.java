package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.baobabknot.agent.AgentRole;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.entry.EntryRole;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.ResponseCheck;
import org.baobabknot.settings.Settings;
import org.baobabknot.settings.SettingsReader;
import org.baobabknot.settings.SettingsResult;

/**
 * Main class of the run that creates the class data archive. It starts an entry and an
 * agent in one process and sends one request, which the entry refuses, so that the
 * classes of both roles are loaded.
 */
public final class ArchiveRun {

	private static final String HTTP_SETTINGS = "\"http\": {\"host\": \"127.0.0.1\", \"port\": 0}";

	private static final String TARGET_SETTINGS = "\"target\": {\"service\": \"service\", "
			+ "\"url\": \"http://127.0.0.1:1\", \"kind\": \"engine\", \"capacity\": 1}";

	private static final long RUN_MS = 1_500;

	private ArchiveRun() {
	}

	/**
	 * Runs an entry and an agent for a short time.
	 * @param args not used
	 * @throws IOException when a process cannot be created
	 * @throws InterruptedException when interrupted
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		Path folder = Files.createTempDirectory("baobabknot-archive-");
		Daemon entry = new Daemon(settings(folder, "entry", HTTP_SETTINGS), EntryRole::new);
		Daemon agent = new Daemon(settings(folder, "agent", TARGET_SETTINGS), AgentRole::new);
		entry.start().join();
		agent.start().join();
		InetSocketAddress address = ((EntryRole) entry.role()).address();
		try (HttpCaller caller = new HttpCaller(1, 1_000)) {
			LoadRequest request = new LoadRequest("1", "archive", "POST", "/service/path", Map.of("X-Workspace", "one"),
					new byte[8], ResponseCheck.NONE);
			System.out.println(caller.send(address, request).join().status());
		}
		TimeUnit.MILLISECONDS.sleep(RUN_MS);
		for (String role : List.of("entry", "agent")) {
			Files.delete(folder.resolve(role + ".json"));
		}
		Files.delete(folder);
		System.exit(0);
	}

	private static Settings settings(Path folder, String role, String roleSettings) throws IOException {
		String text = """
				{"role": "%s", "instance": "%s", "failureDomain": "domain", "region": "region",
				 "listen": {"host": "127.0.0.1", "port": 0}, "operator": {"host": "127.0.0.1", "port": 0},
				 "platform": {"store": "http://127.0.0.1:1", "members": "http://127.0.0.1:1",
				              "origin": "http://127.0.0.1:1"},
				 "links": {"machineBytesPerSecond": 1000000, "regionBytesPerSecond": 1000000},
				 "tls": {"enabled": false}, %s}
				""".formatted(role, role, roleSettings);
		Path file = Files.writeString(folder.resolve(role + ".json"), text);
		if (SettingsReader.read(file) instanceof SettingsResult.Accepted accepted) {
			return accepted.settings();
		}
		throw new IOException(file + " is not valid");
	}

}
