package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.ResponseCheck;

/**
 * Sets up the smallest fleet, with one entry, one agent, one target and one failure
 * domain.
 */
final class SingleTarget {

	private static final long UNLIMITED_BYTES_PER_SECOND = 1L << 30;

	private static final long READY_TIMEOUT_MS = 20_000;

	private SingleTarget() {
	}

	static Deployment deployment(Deployment.Service service) {
		return new Deployment("single", List.of(new Deployment.Domain("north-1", "north")), 1, List.of(service),
				new Deployment.Link(0, UNLIMITED_BYTES_PER_SECOND), UNLIMITED_BYTES_PER_SECOND,
				UNLIMITED_BYTES_PER_SECOND, new Deployment.Model(256 << 10, 64 << 10), List.of("one"));
	}

	/**
	 * Applies rules that permit workspace {@code one} to use the service, and waits until
	 * a request through the entry succeeds.
	 * @param fleet the fleet
	 * @param context the progress output
	 * @throws IOException if no request succeeds in time
	 * @throws InterruptedException when interrupted
	 */
	static void applyRules(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException {
		Deployment.Service service = fleet.deployment().services().get(0);
		String model = service.engine() ? "model " + service.name() + " " + Fleet.FIRST_VERSION + " sha256:"
				+ fleet.manifestDigest(Fleet.FIRST_VERSION) + "  # model team: release\n" : "";
		Path rules = context.launcher()
			.writeText("rules.txt", model + "workspace one " + service.name() + "  # experiment: measured load\n");
		fleet.tool().run("apply", rules.toString(), "--wait").jsonOrThrow();
		awaitResponse(fleet, service);
	}

	private static void awaitResponse(Fleet fleet, Deployment.Service service)
			throws IOException, InterruptedException {
		InetSocketAddress entry = fleet.callerAddresses().get(0);
		String path = "/" + service.name() + (service.engine() ? "/v1/completions" : "/ready");
		LoadRequest request = new LoadRequest("0", "ready", "POST", path, Map.of("X-Workspace", "one"),
				"{\"prompt\":\"a\",\"max_tokens\":1}".getBytes(), ResponseCheck.NONE);
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
		try (HttpCaller caller = new HttpCaller(1, 2_000)) {
			while (caller.send(entry, request).join().status() != 200) {
				if (System.nanoTime() - deadline > 0) {
					throw new IOException(
							"no successful response from the entry: " + caller.send(entry, request).join().text());
				}
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
	}

}
