package review;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A caller's prompts become deadly for a while after the caller was idle. */
final class IdleCaller {

	static final int CONTACT_MS = 3_000;

	public static void main(String[] arguments) {
		Site.run(arguments[0], IdleCaller::run);
	}

	private static boolean run(Site site) throws Exception {
		site.configure(3, List.of(Site.route("advice", "streaming", "advice"), Site.route("order", "unsafe", "orders")), 4_194_304);
		for (int index = 0; index < 6; index++) {
			site.engine("advice", Site.MODEL).deadlyPart = (Site.trouble()) ? "dead0a11" : "";
		}
		site.engine("orders", "");
		site.startGateways(6);
		ExecutorService pool = Executors.newCachedThreadPool(Store::daemon);
		double start = Record.seconds();
		Record.line("begin");
		// Tenant b calls all the time, tenant a in the first 8 s and again from 40 s on.
		int sent = 0;
		int deadly = 0;
		double first = 40;
		double end = 75;
		for (int tick = 0; tick < end * 10; tick++) {
			double now = tick / 10.0;
			sleepUntil(start + now);
			Gateway gateway = site.gateways.get(sent++ % site.gateways.size());
			if (tick % 2 == 0) {
				pool.execute(() -> sound(gateway, "sound-b", "key-b", "beef0001:40", "b0b0b0b0:160"));
			}
			boolean active = now < 8 || now >= first + 1.2;
			if (tick % 3 == 0 && active) {
				Gateway other = site.gateways.get((sent + 2) % site.gateways.size());
				pool.execute(() -> sound(other, "sound-a", "key-a", "c0ffee01:40", "a0a0a0a0:160"));
			}
			// The first request of the caller after its pause holds the deadly part, and so does one every half second.
			if (now >= first && tick % 5 == 0) {
				Gateway other = site.gateways.get(deadly++ % site.gateways.size());
				pool.execute(() -> Caller.send(other, "deadly", "/advice/x", "key-a",
						Caller.prompt(Site.MODEL, "c0ffee01:40", "a0a0a0a0:160", "dead0a11:90", own()), "q".getBytes(), 6_000));
			}
		}
		Thread.sleep(2_000);
		double crash = (Engine.CRASHES.isEmpty()) ? start + first : Engine.CRASHES.get(Math.min(4, Engine.CRASHES.size() - 1));
		double from = crash + 2 * CONTACT_MS / 1000.0;
		return judge(start, from, start + end);
	}

	private static String own() {
		return Long.toHexString(System.nanoTime() & 0xffffffffffL) + ":50";
	}

	private static void sound(Gateway gateway, String tag, String key, String... shared) {
		Caller.send(gateway, tag, "/advice/x", key, Caller.prompt(Site.MODEL, shared[0], shared[1], own()), "q".getBytes(), 6_000);
	}

	static void sleepUntil(double seconds) throws InterruptedException {
		long ms = (long) ((seconds - Record.seconds()) * 1000);
		if (ms > 0) {
			Thread.sleep(ms);
		}
	}

	private static boolean judge(double start, double from, double to) {
		boolean broken = false;
		for (String tag : List.of("sound-a", "sound-b")) {
			List<Caller.Result> before = Caller.RESULTS.stream().filter((r) -> r.tag().equals(tag) && r.at() < start + 39).toList();
			List<Caller.Result> during = Caller.RESULTS.stream()
				.filter((r) -> r.tag().equals(tag) && r.at() >= from && r.at() < to)
				.toList();
			long begunBefore = before.stream().filter((r) -> r.status() == 200).count();
			long begunDuring = during.stream().filter((r) -> r.status() == 200).count();
			long denied = during.stream().filter((r) -> r.status() == 400).count();
			double shareBefore = begunBefore / (double) Math.max(1, before.size());
			double shareDuring = begunDuring / (double) Math.max(1, during.size());
			Record.verdict("%s: %d of %d begun outside the disruption, %d of %d from 2 x contact_ms after crash %d on, %d of these answered 400",
					tag, begunBefore, before.size(), begunDuring, during.size(), Math.min(5, Engine.CRASHES.size()), denied);
			broken |= before.size() >= 20 && during.size() >= 20 && shareDuring < 0.5 * shareBefore;
		}
		Record.verdict("crashes: %d", Engine.CRASHES.size());
		return broken;
	}

}
