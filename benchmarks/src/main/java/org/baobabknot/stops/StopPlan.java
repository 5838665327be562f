package org.baobabknot.stops;

import java.util.SplittableRandom;

/**
 * What happens to a gateway in one stop. All times are in ms; those of events count from
 * SIGTERM and are negative for none.
 *
 * @param loadMs time under load before SIGTERM
 * @param freezeAtMs time of SIGSTOP
 * @param freezeMs time until SIGCONT
 * @param secondTermAtMs time of a second SIGTERM
 * @param hangupAtMs time of SIGHUP
 */
record StopPlan(int loadMs, int freezeAtMs, int freezeMs, int secondTermAtMs, int hangupAtMs) {

	private static final double FREEZE_RATIO = 0.4;

	private static final double SECOND_SIGNAL_RATIO = 0.3;

	static StopPlan draw(SplittableRandom random) {
		return new StopPlan(2_500 + random.nextInt(1_500), at(random, FREEZE_RATIO), 50 + random.nextInt(851),
				at(random, SECOND_SIGNAL_RATIO), at(random, SECOND_SIGNAL_RATIO));
	}

	private static int at(SplittableRandom random, double ratio) {
		int atMs = random.nextInt(5_000);
		return (random.nextDouble() < ratio) ? atMs : -1;
	}

	boolean frozen() {
		return this.freezeAtMs >= 0;
	}

}
