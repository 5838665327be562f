package org.baobabknot.stops;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.baobabknot.emulator.EmulatedCaller;

/**
 * A caller of streams that may outlast a stopping gateway. A stream that breaks off is
 * resumed at another gateway after the last event.
 */
final class ResumingCaller implements Runnable {

	static final String MODEL = "outlasting";

	static final int EVENTS = 66;

	static final int INTERVAL_MS = 150;

	static final long DEADLINE_MS = 14_000;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int READ_TIMEOUT_MS = 2_000;

	private static final int RETRY_MS = 30;

	private final int number;

	private final StopSite site;

	private final int gateways;

	private final SplittableRandom random;

	private final BooleanSupplier running;

	private final Consumer<Result> results;

	private int requests;

	private long lastEventNanos;

	private long longestPauseNanos;

	private int nextEvent;

	ResumingCaller(int number, StopSite site, int gateways, long seed, BooleanSupplier running,
			Consumer<Result> results) {
		this.number = number;
		this.site = site;
		this.gateways = gateways;
		this.random = new SplittableRandom(seed);
		this.running = running;
		this.results = results;
	}

	@Override
	public void run() {
		while (this.running.getAsBoolean()) {
			callStream();
			pause();
		}
	}

	private void callStream() {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MS);
		this.nextEvent = 0;
		this.longestPauseNanos = 0;
		int cuts = 0;
		int gateway = this.random.nextInt(this.gateways);
		while (this.nextEvent < EVENTS && deadlineNanos - System.nanoTime() > 0) {
			int before = this.nextEvent;
			readFrom(gateway, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
			cuts += (this.nextEvent > before && this.nextEvent < EVENTS) ? 1 : 0;
			if (this.nextEvent < EVENTS) {
				gateway = (gateway + 1) % this.gateways;
				if (this.nextEvent == before) {
					pause();
				}
			}
		}
		this.results
			.accept(new Result(this.nextEvent == EVENTS, cuts, TimeUnit.NANOSECONDS.toMillis(this.longestPauseNanos)));
	}

	private void readFrom(int gateway, long leftMs) {
		String resume = (this.nextEvent > 0) ? "Last-Event-Id: " + (this.nextEvent - 1) + "\r\n" : "";
		String request = EmulatedCaller.request("POST", "/essays/x",
				String.format("%08x%08x", this.number, ++this.requests),
				EmulatedCaller.modelHeaders(MODEL, 100, EVENTS) + EmulatedCaller.deadlineHeader(leftMs) + resume,
				"body");
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", this.site.port(gateway)), CONNECT_TIMEOUT_MS);
			socket.setSoTimeout(READ_TIMEOUT_MS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			BufferedReader lines = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			for (String line = lines.readLine(); line != null && this.nextEvent < EVENTS; line = lines.readLine()) {
				if (line.equals("data: e" + this.nextEvent)) {
					eventReceived();
				}
				else if (line.startsWith("HTTP/1.1 ") && !line.startsWith("HTTP/1.1 200")) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The stream goes on elsewhere.
		}
	}

	private void eventReceived() {
		long now = System.nanoTime();
		if (this.nextEvent > 0) {
			this.longestPauseNanos = Math.max(this.longestPauseNanos, now - this.lastEventNanos);
		}
		this.lastEventNanos = now;
		this.nextEvent++;
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(RETRY_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * What a caller got.
	 *
	 * @param whole whether all events came before the deadline
	 * @param cuts number of times the stream broke off after at least an event
	 * @param longestPauseMs longest pause between two events, in ms
	 */
	record Result(boolean whole, int cuts, long longestPauseMs) {
	}

}
