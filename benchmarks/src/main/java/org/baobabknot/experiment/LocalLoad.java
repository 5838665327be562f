package org.baobabknot.experiment;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.RequestSender;
import org.baobabknot.load.ResponseCheck;

/**
 * Generates idempotent requests of several workspaces for a {@link LocalFleet}.
 */
final class LocalLoad {

	private final RandomGenerator random;

	private final Map<String, Integer> permilleByWorkspace;

	private final int timeoutMs;

	private final AtomicInteger requestCount = new AtomicInteger();

	/**
	 * Creates a load.
	 * @param seed the seed for the arrival intervals and the choice of workspaces
	 * @param permilleByWorkspace the share of each workspace in parts per thousand; the
	 * last workspace gets the remainder
	 * @param timeoutMs timeout that the callers request, in milliseconds
	 */
	LocalLoad(long seed, Map<String, Integer> permilleByWorkspace, int timeoutMs) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.permilleByWorkspace = permilleByWorkspace;
		this.timeoutMs = timeoutMs;
	}

	LoadReport runOpenLoop(RequestSender sender, double perSecond, long durationMs) {
		LoadReport report = new LoadReport();
		new LoadGenerator(sender, report).openLoop(perSecond, durationMs, this.random, requestSource());
		return report;
	}

	LoadReport runClosedLoop(RequestSender sender, int callers, long durationMs) {
		LoadReport report = new LoadReport();
		new LoadGenerator(sender, report).closedLoop(callers, durationMs, requestSource());
		return report;
	}

	private Supplier<LoadRequest> requestSource() {
		return () -> {
			String workspace = drawWorkspace();
			return new LoadRequest("r" + this.requestCount.incrementAndGet(), workspace, "GET",
					"/" + LocalFleet.SERVICE + "/today",
					Map.of("X-Workspace", workspace, "X-Request-Timeout-Ms", Integer.toString(this.timeoutMs),
							"X-Priority", workspace.equals("high") ? "high" : "normal"),
					new byte[0], ResponseCheck.NONE);
		};
	}

	private String drawWorkspace() {
		int remainder;
		synchronized (this.random) {
			remainder = this.random.nextInt(1000);
		}
		String workspace = "";
		for (Map.Entry<String, Integer> share : this.permilleByWorkspace.entrySet()) {
			workspace = share.getKey();
			remainder -= share.getValue();
			if (remainder < 0) {
				return workspace;
			}
		}
		return workspace;
	}

}
