package org.baobabknot.soak;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.baobabknot.emulator.CallerConnection;
import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.emulator.CallerMessage;
import org.baobabknot.emulator.EngineWork;
import org.baobabknot.soak.SoakRequest.Kind;

/**
 * A caller that uses each connection until its peer closes it, then another gateway.
 */
final class SoakCaller implements Runnable {

	private static final int MAX_PAUSE_MS = 60;

	/**
	 * Longest time until the next request after one that got no response or a refusal.
	 */
	private static final int REFUSED_PAUSE_MS = 400;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final double HTTP10_RATIO = 0.25;

	private static final double SLOW_READER_RATIO = 0.12;

	private final int number;

	private final List<Integer> ports;

	private final SplittableRandom random;

	private final SoakLoad load;

	private final BooleanSupplier running;

	private final SoakSite site;

	private final SoakHistory history;

	private int requests;

	SoakCaller(int number, long seed, BooleanSupplier running, SoakSite site, SoakHistory history) {
		this.number = number;
		this.ports = site.callerPorts();
		this.random = new SplittableRandom(seed);
		this.load = new SoakLoad(this.random, site.maxPauseMs());
		this.running = running;
		this.site = site;
		this.history = history;
	}

	@Override
	public void run() {
		while (this.running.getAsBoolean()) {
			int gateway = this.random.nextInt(this.ports.size());
			boolean http10 = this.load.draws(HTTP10_RATIO);
			boolean readsSlowly = this.load.draws(SLOW_READER_RATIO);
			try (CallerConnection connection = new CallerConnection(this.ports.get(gateway), readsSlowly)) {
				boolean open = true;
				while (open && this.running.getAsBoolean()) {
					SoakRequest request = send(connection, gateway, http10, readsSlowly);
					pause(MAX_PAUSE_MS);
					open = isReusable(request) && nothingArrived(connection, request);
					if (request.unanswered() || request.status() == STATUS_UNAVAILABLE) {
						pause(REFUSED_PAUSE_MS);
					}
				}
			}
			catch (IOException ex) {
				// The gateway is down: the next connection goes to any of them.
				pause(REFUSED_PAUSE_MS);
			}
		}
	}

	private void pause(int ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(this.random.nextInt(ms));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private SoakRequest send(CallerConnection connection, int gateway, boolean http10, boolean readsSlowly) {
		Kind kind = this.load.drawKind(this.site.sendsDeadlyPart());
		String id = String.format("%08x%08x", this.number, ++this.requests);
		EngineWork work = this.load.drawWork(kind, readsSlowly, this.site.isCalm());
		int timeoutMs = this.load.drawTimeoutMs(work);
		CallerMessage message = this.load.drawMessage(id, kind, gateway, work, timeoutMs, http10);
		CallerExchange exchange = connection.exchange(message);
		SoakRequest request = new SoakRequest(id, kind, gateway, work, timeoutMs, readsSlowly, message, exchange);
		this.history.add(request);
		return request;
	}

	private static boolean isReusable(SoakRequest request) {
		CallerExchange exchange = request.exchange();
		String connection = exchange.headers().getOrDefault("connection", "");
		boolean kept = (request.message().http10()) ? connection.equalsIgnoreCase("keep-alive")
				: !connection.equalsIgnoreCase("close");
		boolean framed = exchange.headers().containsKey("content-length")
				|| (!request.message().http10() && exchange.headers().containsKey("transfer-encoding"));
		return exchange.complete() && exchange.sentNanos() > 0 && kept && framed;
	}

	// A success, or bytes that are no response, may not arrive before the next request.
	private boolean nothingArrived(CallerConnection connection, SoakRequest last) throws IOException {
		String text = connection.unsolicited();
		if (!text.isEmpty() && !text.matches("(?s)HTTP/1\\.[01] [3-5].*")) {
			this.history.addViolation(new SoakViolation(
					"bytes without a request arrived after " + last.describe() + ": " + SoakViolation.shorten(text),
					last));
		}
		return text.isEmpty();
	}

}
