package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.settings.FleetSettings;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against many gateways of a region saturating the link to the store with copies
 * of a large configuration.
 */
class ConfigurationOverSharedLinkTests {

	/** 16.8 Mbit/s, the link between two regions of the largest deployment. */
	private static final long LINK_BYTES_PER_SECOND = 2_100_000;

	private static final int GATEWAYS = 20;

	private static final int ROUTES = 1_400;

	private static final long MAX_PROPAGATION_MS = 3_000;

	private static final FleetSettings.Bounds BOUNDS = new FleetSettings.Bounds(MAX_PROPAGATION_MS, 5_000, 10_000,
			8_000, 0.2, 10_000, 357, 1.5, 5, 1_200);

	/**
	 * Copies of a configuration that may be sent over the link after a change: one for
	 * each of the two readers, and one more for each if a later version follows.
	 */
	private static final int MAX_COPIES = 4;

	private static final int COPY_BYTES = configuration(2).routes(ROUTES, "plain").toString().length() * 4 / 3;

	private static EmulatedConfiguration configuration(long version) {
		return new EmulatedConfiguration(version).route("reads", "safe", "plain", 2_000)
			.plainService("plain")
			.workspace("w", "key-1");
	}

	@Test
	void aLargeConfigurationAndTheChangeAfterItAreInForceInTime() throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND, BOUNDS)) {
			fleet.configure(configuration(1));
			fleet.start(GATEWAYS);
			fleet.awaitVersion(1);
			fleet.configure(configuration(2).routes(ROUTES, "plain"));
			assertThat("ms until the large configuration is in force", fleet.awaitVersion(2),
					lessThan(MAX_PROPAGATION_MS));
			fleet.configure(configuration(3).routes(ROUTES, "plain"));
			assertThat("ms until the next change is in force", fleet.awaitVersion(3), lessThan(MAX_PROPAGATION_MS));
			Thread.sleep(2_000);
			assertThat("copies over the link", copiesSent(fleet), is(lessThanOrEqualTo(2 * MAX_COPIES)));
		}
	}

	private static int copiesSent(GatewayFleet fleet) {
		return (int) (fleet.store.linkSentBytes() / COPY_BYTES);
	}

	@Test
	void keysExpireWhenTheStoreDoesNotRespond() throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND, BOUNDS)) {
			fleet.configure(configuration(1));
			fleet.start(6);
			fleet.awaitVersion(1);
			Thread.sleep(2_000);
			fleet.store.setSilent(true);
			Thread.sleep(BOUNDS.keyMs() * 9 / 10);
			assertThat(fleet.countGatewaysWithFreshKeys(), is(0L));
			fleet.store.setSilent(false);
			fleet.store.resetConnections();
			Thread.sleep(MAX_PROPAGATION_MS);
			assertThat(fleet.countGatewaysWithFreshKeys(), is(6L));
		}
	}

	@Test
	void gatewaysThatReconnectTogetherReceiveALargeConfigurationInTime() throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND, BOUNDS)) {
			fleet.configure(configuration(1));
			fleet.start(GATEWAYS);
			fleet.awaitVersion(1);
			Thread.sleep(2_000);
			fleet.store.setSilent(true);
			Thread.sleep(6_000);
			fleet.configure(configuration(2).routes(ROUTES, "plain"));
			fleet.configure(configuration(3).routes(ROUTES, "plain"));
			fleet.configure(configuration(4).routes(ROUTES, "plain"));
			fleet.store.setSilent(false);
			fleet.store.resetConnections();
			assertThat("ms until the newest configuration is in force", fleet.awaitVersion(4),
					lessThan(MAX_PROPAGATION_MS));
			Thread.sleep(2_000);
			assertThat("copies over the link", copiesSent(fleet), is(lessThanOrEqualTo(MAX_COPIES)));
		}
	}

	@Test
	void gatewaysThatStartTogetherReceiveALargeConfigurationInTime() throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND, BOUNDS)) {
			fleet.configure(configuration(2).routes(ROUTES, "plain"));
			fleet.start(GATEWAYS);
			assertThat("ms until all have a configuration", fleet.awaitVersion(2), lessThan(MAX_PROPAGATION_MS));
		}
	}

}
