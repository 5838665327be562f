package org.baobabknot.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;

/**
 * Faults of a soak. Each runs in a thread of its own, so that several overlap.
 */
enum SoakFault {

	/** A gateway is stopped with SIGTERM and started again. */
	GATEWAY_STOPPED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.stopGateway(site.draw(site.gateways()), 0, 0);
		}
	},

	/** Two gateways are stopped shortly one after the other. */
	GATEWAYS_STOPPED_IN_SERIES {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			int first = site.draw(site.gateways());
			int gapMs = 300 + site.draw(2_500);
			Thread second = new Thread(() -> {
				try {
					pause(gapMs);
					site.stopGateway((first + 1) % site.gateways(), 0, 0);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}, "second-stop");
			second.start();
			site.stopGateway(first, 0, 0);
			second.join();
		}
	},

	/** A gateway is stopped, signalled again and paused meanwhile. */
	STOP_STALLED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.stopGateway(site.draw(site.gateways()), site.draw(7_000), 50 + site.draw(850));
		}
	},

	/** A gateway is paused for up to 0.9 s. */
	GATEWAY_STALLED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.pauseGateway(site.draw(site.gateways()), 50 + site.draw(850));
		}
	},

	/** A gateway is killed and started again. */
	GATEWAY_KILLED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			site.killGateway(site.draw(site.gateways()));
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

	/** Engines state a limit, a lower one later, and none in the end. */
	ENGINES_LIMITED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			List<EmulatedEngine> engines = (site.draw(3) == 0) ? site.allEngines() : site.drawEngines();
			double limit = LIMITS[site.draw(LIMITS.length)];
			engines.forEach((engine) -> engine.limitPerSecond = Double.toString(limit));
			pause(5_000 + site.draw(5_000));
			if (site.draw(2) == 0) {
				engines.forEach((engine) -> engine.limitPerSecond = Double.toString(limit / 2));
				pause(4_000 + site.draw(4_000));
			}
			engines.forEach((engine) -> engine.limitPerSecond = "");
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
			engine.endInsideEvent = 1 + site.draw(4);
			pause(500 + site.draw(1_500));
			engine.endInsideEvent = 0;
		}
	},

	/** Engines send each response a second time, up to 5 s later. */
	ENGINES_REPEAT_LATE {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			int maxDelayMs = (site.draw(2) == 0) ? 20 : 5_000;
			change(site, (engine) -> engine.maxDuplicateDelayMs = maxDelayMs,
					(engine) -> engine.maxDuplicateDelayMs = 0);
		}
	},

	/**
	 * Engines send each plain response and refusal a second time before the next one.
	 */
	ENGINES_REPEAT_BEFORE_NEXT {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			change(site, (engine) -> engine.lateDuplicates = true, (engine) -> engine.lateDuplicates = false);
		}
	},

	/** Engines send single bytes. */
	ENGINES_SEND_SINGLE_BYTES {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			change(site, (engine) -> engine.sendsSingleBytes = true, (engine) -> engine.sendsSingleBytes = false);
		}
	},

	/** Engines answer with an error after they have run a request. */
	ENGINES_ANSWER_ERRORS {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			int status = ERRORS[site.draw(ERRORS.length)];
			change(site, (engine) -> engine.status = status, (engine) -> engine.status = 200);
		}
	},

	/** Engines answer before they have read the body of a request. */
	ENGINES_ANSWER_EARLY {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			int status = (site.draw(2) == 0) ? 500 : 503;
			change(site, (engine) -> engine.earlyStatus = status, (engine) -> engine.earlyStatus = 0);
		}
	},

	/** Engines close connections after some responses, as these state. */
	ENGINES_CLOSE {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			change(site, (engine) -> engine.closeRatio = 0.3, (engine) -> engine.closeRatio = 0);
		}
	},

	/** Engines send interim responses. */
	ENGINES_SEND_INTERIM {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			change(site, (engine) -> engine.sendsInterim = true, (engine) -> engine.sendsInterim = false);
		}
	},

	/** Whole engines neither read nor send for up to two seconds, and go on. */
	ENGINES_SILENT {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			for (int count = 1 + site.draw(3); count > 0; count--) {
				site.drawEngines().forEach((engine) -> engine.fallSilent(300 + site.draw(1_700)));
				pause(500 + site.draw(2_500));
			}
		}
	},

	/** A connection of an engine neither reads nor sends for a while, and goes on. */
	CONNECTION_SILENT {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			for (int count = 1 + site.draw(3); count > 0; count--) {
				site.drawEngine().fallSilentOnOneConnection(300 + site.draw(1_700));
				pause(200 + site.draw(800));
			}
		}
	},

	/** Whole engines fall silent beside a change of another kind, and go on. */
	ENGINES_SILENT_BESIDE_A_CHANGE {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			List<EmulatedEngine> engines = site.drawEngines();
			SoakFault beside = BESIDE_SILENCE[site.draw(BESIDE_SILENCE.length)];
			Thread change = new Thread(() -> {
				try {
					beside.inject(site);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}, "change-beside-silence");
			boolean changeFirst = site.draw(2) == 0;
			if (changeFirst) {
				change.start();
				pause(site.draw(1_500));
			}
			engines.forEach((engine) -> engine.fallSilent(1_000 + site.draw(500)));
			if (!changeFirst) {
				pause(site.draw(1_000));
				change.start();
			}
			change.join();
		}
	},

	/** Engines have one slot and at most two places in their queue for a while. */
	ENGINES_FULL {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			int queued = site.draw(3);
			change(site.drawEngines(), site, (engine) -> {
				engine.slots = 1;
				engine.maxQueuedRequests = queued;
			}, (engine) -> {
				engine.slots = 16;
				engine.maxQueuedRequests = 32;
			});
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

	/** The configuration changes, and is as before some time later. */
	CONFIGURATION_CHANGED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			ConfigurationChange[] changes = ConfigurationChange.values();
			site.changeConfiguration(changes[site.draw(changes.length)]);
			pause(200 + site.draw(2_000));
			site.changeConfiguration(ConfigurationChange.VERSION_ONLY);
		}
	},

	/** A gateway gets SIGHUP. */
	GATEWAY_HUNG_UP {
		@Override
		void inject(SoakSite site) {
			site.hangUpGateway(site.draw(site.gateways()));
		}
	},

	/** The store is away and comes back from a copy up to 5 s old. */
	STORE_RESTORED {
		@Override
		void inject(SoakSite site) throws InterruptedException {
			EmulatedStore.Copy copy = site.copyStore();
			pause(200 + site.draw(4_000));
			site.restoreStore(copy, 100 + site.draw(1_500));
		}
	};

	private static final SoakFault[] BESIDE_SILENCE = { CONFIGURATION_CHANGED, GATEWAY_HUNG_UP, GATEWAY_STOPPED,
			ENGINES_FULL, STORE_RESTORED };

	private static final int[] ERRORS = { 400, 404, 409, 422, 500 };

	private static final double[] LIMITS = { 0, 0.3, 1.7, 5, 20 };

	/**
	 * Injects the fault and ends it.
	 * @param site what it acts on
	 * @throws InterruptedException if the soak ends
	 */
	abstract void inject(SoakSite site) throws InterruptedException;

	private static void change(SoakSite site, Consumer<EmulatedEngine> begin, Consumer<EmulatedEngine> end)
			throws InterruptedException {
		change(site.drawEngines(), site, begin, end);
	}

	private static void change(List<EmulatedEngine> engines, SoakSite site, Consumer<EmulatedEngine> begin,
			Consumer<EmulatedEngine> end) throws InterruptedException {
		engines.forEach(begin);
		pause(1_000 + site.draw(4_000));
		engines.forEach(end);
	}

	private static void pause(int ms) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(ms);
	}

}
