package org.baobabknot.soak;

import org.baobabknot.emulator.EmulatedConfiguration;

/**
 * Kinds of changes of the configuration. Each lasts until the next one.
 */
enum ConfigurationChange {

	/** Only the number of the version changes. */
	VERSION_ONLY {
		@Override
		void apply(EmulatedConfiguration configuration) {
			addRoutes(configuration, SoakLoad.ROUTE_TIMEOUT_MS, true);
			configuration.plainService(PLAIN).workspace(WORKSPACE, KEY);
		}
	},

	/** Thousands of routes are added, which take a gateway some time to read. */
	ROUTES_ADDED {
		@Override
		void apply(EmulatedConfiguration configuration) {
			VERSION_ONLY.apply(configuration);
			configuration.routes(3_000, PLAIN);
		}
	},

	/** The route of the reads is dropped. */
	ROUTE_REMOVED {
		@Override
		void apply(EmulatedConfiguration configuration) {
			addRoutes(configuration, SoakLoad.ROUTE_TIMEOUT_MS, false);
			configuration.plainService(PLAIN).workspace(WORKSPACE, KEY);
		}
	},

	/** The key of the callers is taken away. */
	KEY_REMOVED {
		@Override
		void apply(EmulatedConfiguration configuration) {
			addRoutes(configuration, SoakLoad.ROUTE_TIMEOUT_MS, true);
			configuration.plainService(PLAIN).workspace(WORKSPACE, "key-2");
		}
	},

	/** A workspace with another key is added. */
	KEY_ADDED {
		@Override
		void apply(EmulatedConfiguration configuration) {
			VERSION_ONLY.apply(configuration);
			configuration.workspace("other", "key-2");
		}
	},

	/** Targets accept fewer connections, and bodies are limited to less. */
	LIMITS_REDUCED {
		@Override
		void apply(EmulatedConfiguration configuration) {
			addRoutes(configuration, SoakLoad.ROUTE_TIMEOUT_MS, true);
			configuration.plainService(PLAIN, 8).workspace(WORKSPACE, KEY).maxBodyBytes(2_000);
		}
	},

	/** Routes give requests more time than callers do. */
	TIMEOUTS_RAISED {
		@Override
		void apply(EmulatedConfiguration configuration) {
			addRoutes(configuration, 2 * SoakLoad.ROUTE_TIMEOUT_MS, true);
			configuration.plainService(PLAIN).workspace(WORKSPACE, KEY);
		}
	};

	private static final String PLAIN = "plain";

	private static final String WORKSPACE = "workspace";

	private static final String KEY = "key-1";

	/**
	 * Adds routes, services without a model and workspaces.
	 * @param configuration the configuration
	 */
	abstract void apply(EmulatedConfiguration configuration);

	private static void addRoutes(EmulatedConfiguration configuration, long timeoutMs, boolean withReads) {
		configuration.route("orders", "unsafe", PLAIN, timeoutMs);
		if (withReads) {
			configuration.route("reads", "safe", PLAIN, timeoutMs);
		}
		configuration.route("texts", "streaming", "models", timeoutMs);
	}

}
