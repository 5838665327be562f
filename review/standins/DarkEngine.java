package review;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An engine whose answers end with their connection goes dark in the middle of them and starts again under its id. */
final class DarkEngine {

	private static final int ENGINES = 8;

	private static final int EVENTS = 21;

	private static final long DARK_MS = 1_200;

	/** Eight times the allowed pause of the route, the longest of the three times that the pages name. */
	private static final int STREAM_GAP_MS = 2_400;

	public static void main(String[] arguments) {
		Site.run(arguments[0], DarkEngine::run);
	}

	private static boolean run(Site site) throws Exception {
		Caller.streamGapMs = STREAM_GAP_MS;
		site.configure(3, List.of(Site.route("talk", "streaming", "advice", false)), 4_194_304);
		for (int index = 0; index < ENGINES; index++) {
			Engine engine = site.engine("advice", Site.MODEL);
			engine.unframed = true;
			engine.events = EVENTS;
			engine.eventMs = 90;
		}
		site.startGateways(3);
		ExecutorService pool = Executors.newCachedThreadPool(Store::daemon);
		double start = Record.seconds();
		int round = 0;
		for (int tick = 0; tick < 300; tick++) {
			double now = tick / 10.0;
			IdleCaller.sleepUntil(start + now);
			if (Site.trouble() && tick >= 40 && tick % 50 == 0 && tick <= 240) {
				site.engines.get(round++ % ENGINES).goDark(DARK_MS);
			}
			Gateway gateway = site.gateways.get(tick % 3);
			pool.execute(() -> Caller.send(gateway, "talk", "/talk/x", "key-a",
					Caller.prompt(Site.MODEL, "c0ffee01:40", Long.toHexString(System.nanoTime()) + ":50"), "q".getBytes(), 6_000));
		}
		Thread.sleep(7_000);
		long whole = 0;
		long early = 0;
		long brokenOff = 0;
		for (Caller.Result result : Caller.RESULTS) {
			int events = result.body().split("data: piece ", -1).length - 1;
			if (result.status() == 200 && result.whole() && result.sealed()) {
				if (events == EVENTS) {
					whole++;
				}
				else {
					early++;
					Record.line("%s ended as complete after %d of %d events, %.2f s after it was sent", result.id(), events, EVENTS,
							result.ended() - result.at());
				}
			}
			else if (result.status() == 200) {
				brokenOff++;
			}
		}
		Record.verdict("%d streams whole, %d broken off, %d ended as complete before their last event", whole, brokenOff, early);
		return early > 0;
	}

}
