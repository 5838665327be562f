package org.baobabknot.burst;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.Fleet;

/**
 * Failures during a burst.
 */
enum BurstFault {

	/** No failure. */
	NONE {
		@Override
		void inject(Fleet fleet, ExperimentContext context) {
		}
	},

	/** An agent is killed while it fetches chunks, and is not replaced. */
	FETCHER {
		@Override
		void inject(Fleet fleet, ExperimentContext context) throws InterruptedException {
			TimeUnit.MILLISECONDS.sleep(INJECT_AFTER_MILLIS);
			String agent = fleet.deployment().modelService().name() + "-1";
			fleet.process(agent).kill();
			context.report("killed %s", agent);
		}

		@Override
		int lostReplicas() {
			return 1;
		}
	},

	/** A failure domain is cut off from the others and the origin for a while. */
	REGION {
		@Override
		void inject(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException {
			TimeUnit.MILLISECONDS.sleep(INJECT_AFTER_MILLIS);
			String domain = fleet.deployment().domains().get(2).name();
			fleet.setFault("links", fault("cut").put("from", domain).put("to", "*"));
			context.report("cut %s off", domain);
			TimeUnit.MILLISECONDS.sleep(CUT_MILLIS);
			fleet.clearFaults("links");
			context.report("%s is back", domain);
		}
	},

	/** One chunk in twenty from the origin is corrupt. */
	CORRUPT {
		@Override
		void inject(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException {
			fleet.setFault("origin", fault("corrupt").put("fraction", CORRUPT_SHARE));
			context.report("corrupting %.0f%% of the chunks", CORRUPT_SHARE * 100);
		}
	};

	private static final long INJECT_AFTER_MILLIS = 2_000;

	private static final long CUT_MILLIS = 5_000;

	private static final double CORRUPT_SHARE = 0.05;

	/**
	 * Causes the failure shortly after the start of the burst.
	 * @param fleet the fleet
	 * @param context the progress output
	 * @throws IOException when a stand-in does not answer
	 * @throws InterruptedException when interrupted
	 */
	abstract void inject(Fleet fleet, ExperimentContext context) throws IOException, InterruptedException;

	/**
	 * Ends the failure.
	 * @param fleet the fleet
	 * @throws IOException when a stand-in does not answer
	 * @throws InterruptedException when interrupted
	 */
	void end(Fleet fleet) throws IOException, InterruptedException {
		fleet.clearFaults("origin");
	}

	/**
	 * Replicas that cannot get the version because of the failure.
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

	private static ObjectNode fault(String kind) {
		return JsonNodeFactory.instance.objectNode().put("kind", kind);
	}

}
