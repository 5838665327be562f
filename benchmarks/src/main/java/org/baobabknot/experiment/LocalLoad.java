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
 * Load of idempotent requests of some workspaces on a {@link LocalFleet}.
 */
final class LocalLoad {

	private final RandomGenerator random;

	private final Map<String, Integer> permille;

	private final int timeoutMillis;

	private final AtomicInteger ids = new AtomicInteger();

	/**
	 * Creates a load.
	 * @param seed seed of intervals and workspaces
	 * @param permille share of each workspace in parts per thousand; the last one gets
	 * the rest
	 * @param timeoutMillis deadline that the callers ask for
	 */
	LocalLoad(long seed, Map<String, Integer> permille, int timeoutMillis) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.permille = permille;
		this.timeoutMillis = timeoutMillis;
	}

	LoadReport run(RequestSender sender, double perSecond, long millis) {
		LoadReport report = new LoadReport();
		new LoadGenerator(sender, report).openLoop(perSecond, millis, this.random, source());
		return report;
	}

	LoadReport closed(RequestSender sender, int callers, long millis) {
		LoadReport report = new LoadReport();
		new LoadGenerator(sender, report).closedLoop(callers, millis, source());
		return report;
	}

	private Supplier<LoadRequest> source() {
		return () -> {
			String workspace = workspace();
			return new LoadRequest("r" + this.ids.incrementAndGet(), workspace, "GET",
					"/" + LocalFleet.SERVICE + "/today",
					Map.of("X-Workspace", workspace, "X-Request-Timeout-Ms", Integer.toString(this.timeoutMillis),
							"X-Priority", workspace.equals("high") ? "high" : "normal"),
					new byte[0], ResponseCheck.NONE);
		};
	}

	private String workspace() {
		int draw;
		synchronized (this.random) {
			draw = this.random.nextInt(1000);
		}
		String last = "";
		for (Map.Entry<String, Integer> share : this.permille.entrySet()) {
			last = share.getKey();
			draw -= share.getValue();
			if (draw < 0) {
				return last;
			}
		}
		return last;
	}

}
