package org.baobabknot.soak;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.soak.SoakRequest.Kind;
import org.jspecify.annotations.Nullable;

/**
 * A caller that uses each connection until its peer closes it, then another gateway.
 */
final class SoakCaller implements Runnable {

	/** Part of a prompt under which engines crash. */
	static final String DEADLY_PART = "dead1";

	/** Header that names the gateway, which targets get unchanged. */
	static final String GATEWAY_HEADER = "X-Gateway";

	private static final String SHARED_PART = "50d1";

	private static final String MODEL = "model";

	private static final int DEADLINE_MS = 4_000;

	private static final int MAX_PAUSE_MS = 60;

	private static final double DEADLY_RATIO = 0.1;

	private final int number;

	private final List<Integer> ports;

	private final SplittableRandom random;

	private final BooleanSupplier running;

	private final BooleanSupplier sendsDeadlyPart;

	private final Consumer<SoakRequest> results;

	private int requests;

	SoakCaller(int number, List<Integer> ports, long seed, BooleanSupplier running, BooleanSupplier sendsDeadlyPart,
			Consumer<SoakRequest> results) {
		this.number = number;
		this.ports = ports;
		this.random = new SplittableRandom(seed);
		this.running = running;
		this.sendsDeadlyPart = sendsDeadlyPart;
		this.results = results;
	}

	@Override
	public void run() {
		while (this.running.getAsBoolean()) {
			int gateway = this.random.nextInt(this.ports.size());
			try (EmulatedCaller connection = new EmulatedCaller(this.ports.get(gateway))) {
				boolean open = true;
				while (open && this.running.getAsBoolean()) {
					open = send(connection, gateway);
					pause();
				}
			}
			catch (IOException ex) {
				// The gateway is down: the next connection goes to any of them.
				pause();
			}
		}
	}

	private void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(this.random.nextInt(MAX_PAUSE_MS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean send(EmulatedCaller connection, int gateway) {
		Kind kind = nextKind();
		String id = String.format("%08x%08x", this.number, ++this.requests);
		String headers = EmulatedCaller.deadlineHeader(DEADLINE_MS) + GATEWAY_HEADER + ": " + gateway + "\r\n";
		if (kind.isStream()) {
			headers += EmulatedCaller.modelHeaders(MODEL, 200, 30) + promptHeader(kind, id);
		}
		long sentNanos = System.nanoTime();
		EmulatedCaller.@Nullable Response response = null;
		try {
			response = connection.sendAndRead("POST", kind.path(), id, headers, "body of " + id);
		}
		catch (IOException ex) {
			// Recorded as a request without a response.
		}
		int status = (response != null) ? response.status() : 0;
		boolean complete = response != null && response.complete();
		String body = (response != null) ? response.body() : "";
		this.results.accept(new SoakRequest(id, kind, gateway, sentNanos, status, complete, body));
		return complete && response != null
				&& !response.headers().getOrDefault("connection", "").equalsIgnoreCase("close");
	}

	private static String promptHeader(Kind kind, String id) {
		String own = id.substring(id.length() - 6);
		return (kind != Kind.DEADLY_TEXT) ? EmulatedCaller.promptHeader(SHARED_PART, own)
				: EmulatedCaller.promptHeader(SHARED_PART, DEADLY_PART, own);
	}

	private Kind nextKind() {
		boolean deadly = this.sendsDeadlyPart.getAsBoolean() && this.random.nextDouble() < DEADLY_RATIO;
		return switch (this.random.nextInt(4)) {
			case 0 -> Kind.ORDER;
			case 1 -> Kind.READ;
			default -> (deadly) ? Kind.DEADLY_TEXT : Kind.TEXT;
		};
	}

}
