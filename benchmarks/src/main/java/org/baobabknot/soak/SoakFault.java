package org.baobabknot.soak;

import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedEngine;

/**
 * Faults of a soak. Each runs in a thread of its own, so that several overlap.
 */
enum SoakFault {

	/** A gateway is stopped with SIGTERM and started again. */
	GATEWAY_STOPPED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.restartGateway(site.draw(site.gateways()), true);
		}
	},

	/** A gateway is killed and started again. */
	GATEWAY_KILLED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.restartGateway(site.draw(site.gateways()), false);
		}
	},

	/** A gateway is paused for up to two seconds. */
	GATEWAY_PAUSED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.pauseGateway(site.draw(site.gateways()), 200 + site.draw(1_800));
		}
	},

	/** An engine crashes and another start takes its place. */
	ENGINE_CRASHED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			EmulatedEngine engine = site.drawEngine();
			engine.crash();
			site.replaceLater(engine);
		}
	},

	/** An engine states that it leaves, is listed so a second later, and ends. */
	ENGINE_LEAVES {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			EmulatedEngine engine = site.drawEngine();
			engine.statesLeaving = true;
			pause(1_000);
			site.list(engine, "draining");
			pause(4_000);
			engine.crash();
			site.replaceLater(engine);
		}
	},

	/** An engine refuses requests and asks for a rest. */
	ENGINE_RESTS {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			EmulatedEngine engine = site.drawEngine();
			engine.restSeconds = "1." + site.draw(10);
			engine.refusesRequests = true;
			pause(200 + site.draw(2_500));
			engine.refusesRequests = false;
			engine.restSeconds = "";
		}
	},

	/** An engine answers with neither a length nor chunks. */
	ENGINE_UNFRAMED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			EmulatedEngine engine = site.drawEngine();
			engine.unframedResponses = true;
			pause(500 + site.draw(2_000));
			engine.unframedResponses = false;
		}
	},

	/** Streams of an engine end inside an event. */
	STREAMS_BROKEN {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			EmulatedEngine engine = site.drawEngine();
			engine.endInsideEvent = 1 + site.draw(SoakRequest.EVENTS - 1);
			pause(500 + site.draw(1_500));
			engine.endInsideEvent = 0;
		}
	},

	/** All connections of an engine are reset. */
	CONNECTIONS_RESET {
		@Override
		void inject(SoakSite site) {
			site.drawEngine().resetConnections();
		}
	},

	/** Some requests have a part under which each engine crashes. */
	DEADLY_PART {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.sendDeadlyPart(true);
			pause(4_000);
			site.sendDeadlyPart(false);
		}
	},

	/** The configuration changes. */
	CONFIGURATION_CHANGED {
		@Override
		void inject(SoakSite site) {
			site.changeConfiguration();
		}
	};

	/**
	 * Injects the fault and ends it.
	 * @param site what it acts on
	 * @throws InterruptedException if the soak ends
	 */
	abstract void inject(SoakSite site) throws InterruptedException;

	private static void pause(int ms) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(ms);
	}

}
