package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.fleet.ValueSources;
import org.baobabknot.settings.FleetSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of gateways whose region loses both processes that read the store.
 */
class LostReadersTests {

	private static final long CONFIGURATION_MS = 2_000;

	private static final long LINK_BYTES_PER_SECOND = 50_000_000;

	private static final int GATEWAYS = 8;

	/** Longer than a configuration may take. */
	private static final long FROZEN_MS = 3_500;

	private static EmulatedConfiguration configuration(long version) {
		return new EmulatedConfiguration(version).route("reads", "safe", "plain", 2_000)
			.plainService("plain")
			.workspace("w", "key-1");
	}

	/** The others acted on the old configuration until the readers were back. */
	@Nested
	class Frozen {

		private void freeze(Gateway gateway) {
			gateway.loop().execute(() -> {
				try {
					Thread.sleep(FROZEN_MS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
		}

		private static boolean readsStore(Gateway gateway) {
			return gateway.view()
				.entries()
				.stream()
				.filter((entry) -> entry.instance().equals(gateway.instance()))
				.anyMatch((entry) -> ValueSources
					.forEntry(GatewayFleet.onLoop(gateway, () -> gateway.view().entries()), entry)
					.sources()
					.isEmpty());
		}

		@Test
		void theOthersHaveAChangeInTime() throws Exception {
			try (GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND,
					new FleetSettings.Bounds(CONFIGURATION_MS, 5_000, 8_000, 8_000, 0.2, 10_000, 200, 1.5, 5, 1_200),
					GATEWAYS + 1)) {
				fleet.configure(configuration(1));
				fleet.start(GATEWAYS);
				fleet.awaitVersion(1);
				GatewayFixture.await(() -> fleet.gateways.stream()
					.allMatch((gateway) -> GatewayFleet.onLoop(gateway, () -> gateway.view().entryInstances())
						.size() == GATEWAYS));
				TimeUnit.MILLISECONDS.sleep(FROZEN_MS);
				List<Gateway> readers = new ArrayList<>(fleet.gateways);
				readers.removeIf((gateway) -> !readsStore(gateway));
				readers.forEach(this::freeze);
				fleet.gateways.removeAll(readers);
				fleet.configure(configuration(2));
				assertThat("ms until the change is in force", fleet.awaitVersion(2), lessThan(CONFIGURATION_MS));
			}
		}

	}

}
