package review;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Requests with a deadly part come at all machines, one every half second or several at once. Arguments: record file,
 * bytes that an engine writes before it crashes, requests at once, pause between them in ms, seconds of the run.
 */
final class DeadlyPart {

	private static final double CONTACT_S = 3;

	public static void main(String[] arguments) {
		int bytes = Integer.parseInt(arguments[1]);
		int atOnce = Integer.parseInt(arguments[2]);
		int pauseMs = Integer.parseInt(arguments[3]);
		int seconds = Integer.parseInt(arguments[4]);
		Site.run(arguments[0], (site) -> run(site, bytes, atOnce, pauseMs, seconds));
	}

	private static boolean run(Site site, int bytes, int atOnce, int pauseMs, int seconds) throws Exception {
		site.configure(3, List.of(Site.route("advice", "streaming", "advice"), Site.route("order", "unsafe", "orders")), 4_194_304);
		for (int index = 0; index < 12; index++) {
			Engine engine = site.engine("advice", Site.MODEL);
			engine.deadlyPart = (Site.trouble()) ? "dead0a11" : "";
			engine.bytesBeforeCrash = bytes;
		}
		site.startGateways(Math.max(6, atOnce));
		ExecutorService pool = Executors.newCachedThreadPool(Store::daemon);
		double start = Record.seconds();
		Record.line("begin");
		int sent = 0;
		int deadly = 0;
		for (int tick = 0; tick < seconds * 10; tick++) {
			IdleCaller.sleepUntil(start + tick / 10.0);
			Gateway gateway = site.gateways.get(sent++ % site.gateways.size());
			pool.execute(() -> Caller.send(gateway, "sound", "/advice/x", "key-a",
					Caller.prompt(Site.MODEL, "c0ffee01:40", "a0a0a0a0:160", own()), "q".getBytes(), 6_000));
			if (tick >= 30 && tick * 100 % pauseMs == 0) {
				for (int index = 0; index < atOnce; index++) {
					Gateway other = site.gateways.get(deadly++ % site.gateways.size());
					pool.execute(() -> Caller.send(other, "deadly", "/advice/x", "key-a",
							Caller.prompt(Site.MODEL, "c0ffee01:40", "a0a0a0a0:160", "dead0a11:90", own()), "q".getBytes(), 6_000));
				}
			}
		}
		Thread.sleep(2_000);
		return judge();
	}

	private static String own() {
		return Long.toHexString(System.nanoTime() & 0xffffffffffL) + ":50";
	}

	private static boolean judge() {
		Record.verdict("crashes: %d", Engine.CRASHES.size());
		if (Engine.CRASHES.size() < 5) {
			return false;
		}
		double from = Engine.CRASHES.get(4) + CONTACT_S;
		List<Engine.Arrival> late = Engine.ARRIVALS.stream()
			.filter((arrival) -> arrival.prefix().contains("dead0a11:") && arrival.at() > from)
			.filter((arrival) -> Caller.RESULTS.stream()
				.anyMatch((request) -> request.id().equals(arrival.requestId()) && request.at() > from))
			.toList();
		Record.verdict("fifth crash at %.1f s; requests with the deadly part sent later than %.1f s that reached engines: %d (3 are allowed)",
				Engine.CRASHES.get(4), from, late.size());
		return late.size() > 3;
	}

}
