package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Two of 18 gateways freeze for 3.5 s, and the operator moves a route to another service meanwhile. The others
 * are never touched.
 */
final class FrozenReaders {

	private static final double CONFIG_APPLY_S = 2.0;

	private static final long FREEZE_MS = 3_500;

	/** The two gateways that read the store for their region in this deployment. */
	private static final Set<String> FROZEN = Set.of("front-13", "front-15");

	public static void main(String[] arguments) {
		Site.run(arguments[0], FrozenReaders::run);
	}

	private static boolean run(Site site) throws Exception {
		site.configure(3, List.of(Site.route("order", "unsafe", "orders")), 4_194_304);
		for (int index = 0; index < 3; index++) {
			site.engine("orders", "").firstByteMs = 20;
			site.engine("orders-b", "").firstByteMs = 20;
		}
		site.startGateways(18);
		List<Gateway> calm = new ArrayList<>(site.gateways);
		calm.removeIf((gateway) -> FROZEN.contains(gateway.name()));
		ExecutorService pool = Executors.newCachedThreadPool(Store::daemon);
		double start = Record.seconds();
		double lastMove = 0;
		int version = 6;
		boolean broken = false;
		// Two rounds, 14 s apart: twice contact_ms passes between the end of a freeze and the next.
		for (int round = 0; round < 2; round++) {
			double begin = start + 3 + round * 14;
			IdleCaller.sleepUntil(begin);
			if (Site.trouble()) {
				for (Gateway gateway : site.gateways) {
					if (FROZEN.contains(gateway.name())) {
						gateway.signal("STOP");
					}
				}
			}
			IdleCaller.sleepUntil(begin + 0.1);
			String service = (round % 2 == 0) ? "orders-b" : "orders";
			String old = (round % 2 == 0) ? "orders" : "orders-b";
			site.configure(++version, List.of(Site.route("order", "unsafe", service)), 4_194_304);
			lastMove = Record.seconds();
			double acked = lastMove;
			int sent = 0;
			while (Record.seconds() < begin + FREEZE_MS / 1000.0) {
				Gateway gateway = calm.get(sent++ % calm.size());
				pool.execute(() -> Caller.send(gateway, "order", "/order/x", "key-a", "", "o".getBytes(), 1_500));
				Thread.sleep(25);
			}
			if (Site.trouble()) {
				for (Gateway gateway : site.gateways) {
					if (FROZEN.contains(gateway.name())) {
						gateway.signal("CONT");
					}
				}
			}
			IdleCaller.sleepUntil(begin + 6);
			broken |= judge(acked, old, round + 1);
		}
		return broken;
	}

	private static boolean judge(double acked, String old, int round) {
		List<Caller.Result> late = Caller.RESULTS.stream()
			.filter((request) -> request.at() > acked + CONFIG_APPLY_S && request.at() < acked + 6)
			.toList();
		List<Caller.Result> byOld = late.stream()
			.filter((request) -> request.status() == 200 && request.body().startsWith("answer of " + old + " "))
			.toList();
		Record.verdict("round %d: of %d requests sent to calm gateways later than %.1f s after the acknowledgement, %d ran at the old service, the last of them sent %.3f s after it",
				round, late.size(), CONFIG_APPLY_S, byOld.size(),
				byOld.stream().mapToDouble((request) -> request.at() - acked).max().orElse(0));
		return !byOld.isEmpty();
	}

}
