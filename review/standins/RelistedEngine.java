package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * One of six gateways is cut from the store for some seconds. Meanwhile an engine leaves without having been draining:
 * its entry is removed. The other five gateways are never touched.
 */
final class RelistedEngine {

	private static final double DRAIN_S = 2.0;

	public static void main(String[] arguments) {
		int cutMs = Integer.parseInt(arguments[1]);
		int beforeMs = Integer.parseInt(arguments[2]);
		Site.run(arguments[0], (site) -> run(site, cutMs, beforeMs));
	}

	private static boolean run(Site site, int cutMs, int beforeMs) throws Exception {
		site.configure(3, List.of(Site.route("read", "safe", "orders")), 4_194_304);
		for (int index = 0; index < 6; index++) {
			site.engine("orders", "").firstByteMs = 20;
		}
		site.gatewayWithLink = "front-5";
		site.startGateways(6);
		List<Gateway> calm = new ArrayList<>(site.gateways);
		calm.removeIf((gateway) -> gateway.name().equals(site.gatewayWithLink));
		ExecutorService pool = Executors.newCachedThreadPool(Store::daemon);
		double start = Record.seconds();
		int sent = 0;
		boolean broken = false;
		for (int round = 0; round < 4; round++) {
			double begin = start + 2 + round * 13;
			Engine leaving = site.engines.get(round);
			String id = leaving.id();
			double removed = 0;
			boolean back = false;
			boolean cut = false;
			while (Record.seconds() < begin + 12) {
				double now = Record.seconds() - begin;
				if (Site.trouble() && now >= 0 && !cut) {
					cut = true;
					site.link.cut(true);
				}
				if (now >= (cutMs - beforeMs) / 1000.0 && removed == 0) {
					leaving.leaving = true;
					site.store.remove("servers/" + id);
					removed = Record.seconds();
					Record.line("engine %s leaves: the store has removed its entry", id);
				}
				if (cut && now >= cutMs / 1000.0 && !back) {
					back = true;
					site.link.cut(false);
				}
				Gateway gateway = calm.get(sent++ % calm.size());
				pool.execute(() -> Caller.send(gateway, "read", "/read/x", "key-a", "", "r".getBytes(), 1_500));
				Thread.sleep(12);
			}
			double gone = removed;
			List<Engine.Arrival> late = Engine.ARRIVALS.stream()
				.filter((arrival) -> arrival.engine().equals(id) && !arrival.misdirected() && arrival.at() > gone + DRAIN_S)
				.toList();
			Record.verdict("round %d: %d requests from calm gateways reached engine %s later than %.1f s after the removal of its entry, the last after %.3f s",
					round + 1, late.size(), id, DRAIN_S, late.stream().mapToDouble((arrival) -> arrival.at() - gone).max().orElse(0));
			broken |= !late.isEmpty();
			leaving.close();
		}
		return broken;
	}

}
