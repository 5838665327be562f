package org.baobabknot.burst;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.Fleet;

/**
 * Faults injected during a burst.
 */
enum BurstFault {

	/** No fault. */
	NONE {
		@Override
		void inject(Fleet fleet, ExperimentContext context) {
		}
	},

	/** An agent is killed while it fetches chunks, and is not replaced. */
	FETCHER {
		@Override
		void inject(Fleet fleet, ExperimentContext context) throws InterruptedException {
			TimeUnit.MILLISECONDS.sleep(INJECT_DELAY_MS);
			String agent = fleet.deployment().modelService().name() + "-1";
			fleet.process(agent).kill();
			context.report("killed %s", agent);
		}

		@Override
		int lostReplicas() {
			return 1;
		}
	},

	/** A failure domain is temporarily disconnected from the others and the origin. */
	REGION {
		@Override
		void inject(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException {
			TimeUnit.MILLISECONDS.sleep(INJECT_DELAY_MS);
			String domain = fleet.deployment().domains().get(2).name();
			fleet.setFault("links", faultOfKind("cut").put("from", domain).put("to", "*"));
			context.report("cut %s off", domain);
			TimeUnit.MILLISECONDS.sleep(CUT_DURATION_MS);
			fleet.clearFaults("links");
			context.report("%s is back", domain);
		}
	},

	/** One chunk in twenty from the origin is corrupt. */
	CORRUPT {
		@Override
		void inject(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException {
			fleet.setFault("origin", faultOfKind("corrupt").put("fraction", CORRUPT_RATIO));
			context.report("corrupting %.0f%% of the chunks", CORRUPT_RATIO * 100);
		}
	};

	private static final long INJECT_DELAY_MS = 2_000;

	private static final long CUT_DURATION_MS = 5_000;

	private static final double CORRUPT_RATIO = 0.05;

	/**
	 * Injects the fault shortly after the start of the burst.
	 * @param fleet the fleet
	 * @param context the progress output
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	abstract void inject(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException;

	/**
	 * Removes the faults of the origin.
	 * @param fleet the fleet
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	void clear(Fleet fleet) throws IOException, InterruptedException {
		fleet.clearFaults("origin");
	}

	/**
	 * Returns the number of replicas that cannot load the version because of the fault.
	 * @return number of replicas
	 */
	int lostReplicas() {
		return 0;
	}

	static BurstFault byName(String name) {
		try {
			return valueOf(name.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw new IllegalArgumentException(
					"unknown fault \"" + name + "\", expected none, fetcher, region or corrupt", ex);
		}
	}

	private static ObjectNode faultOfKind(String kind) {
		return JsonNodeFactory.instance.objectNode().put("kind", kind);
	}

}
