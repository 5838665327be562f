package org.baobabknot.stops;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.baobabknot.stops.StopRequest.Framing;
import org.baobabknot.stops.StopRequest.Kind;

/**
 * A caller of one gateway. It uses each connection until its peer closes it, or for one
 * request, and doesn't know whether the gateway is being stopped.
 */
final class StopCaller implements Runnable {

	private static final double KEPT_RATIO = 0.6;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int READ_TIMEOUT_MS = 15_000;

	private static final int MAX_PAUSE_MS = 60;

	private static final int MAX_BODY_BYTES = 4_000;

	private static final int SLOW_PARTS = 5;

	private static final int SLOW_PART_MS = 200;

	private final int number;

	private final int gateway;

	private final int port;

	private final SplittableRandom random;

	private final BooleanSupplier running;

	private final Consumer<StopRequest> results;

	private int requests;

	StopCaller(int number, int gateway, int port, long seed, BooleanSupplier running, Consumer<StopRequest> results) {
		this.number = number;
		this.gateway = gateway;
		this.port = port;
		this.random = new SplittableRandom(seed);
		this.running = running;
		this.results = results;
	}

	@Override
	public void run() {
		while (this.running.getAsBoolean()) {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", this.port), CONNECT_TIMEOUT_MS);
				socket.setSoTimeout(READ_TIMEOUT_MS);
				socket.setTcpNoDelay(true);
				useConnection(socket, this.random.nextDouble() < KEPT_RATIO);
			}
			catch (IOException ex) {
				// The gateway is down.
			}
			pause(MAX_PAUSE_MS);
		}
	}

	private void useConnection(Socket socket, boolean kept) throws IOException {
		InputStream input = new BufferedInputStream(socket.getInputStream());
		boolean open = true;
		boolean first = true;
		while (open && this.running.getAsBoolean()) {
			List<StopRequest> batch = nextRequests(first);
			first = false;
			send(batch, socket.getOutputStream(), input);
			for (StopRequest request : batch) {
				if (open && request.response == StopResponse.NONE) {
					request.response = StopResponse.read(input);
				}
				request.endedNanos = System.nanoTime();
				open &= !request.response.closes();
				this.results.accept(request);
			}
			open &= kept;
			if (open) {
				pause(MAX_PAUSE_MS);
			}
		}
	}

	private List<StopRequest> nextRequests(boolean newConnection) {
		Framing framing = Framing.draw(this.random);
		int count = (framing != Framing.PIPELINED) ? 1 : 2 + this.random.nextInt(2);
		List<StopRequest> batch = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			batch.add(new StopRequest(String.format("%08x%08x", this.number, ++this.requests), Kind.draw(this.random),
					framing, this.gateway, newConnection));
		}
		return batch;
	}

	// A connection that fails while the request is sent may hold a response.
	private void send(List<StopRequest> batch, OutputStream output, InputStream input) {
		StopRequest first = batch.get(0);
		byte[] body = "x".repeat(1 + this.random.nextInt(MAX_BODY_BYTES)).getBytes(StandardCharsets.US_ASCII);
		batch.forEach((request) -> request.beganNanos = System.nanoTime());
		try {
			switch (first.framing) {
				case LENGTH, CHUNKS -> write(output, bytes(first, body));
				case PIPELINED -> {
					StringBuilder all = new StringBuilder();
					batch.forEach((request) -> all.append(new String(bytes(request, body), StandardCharsets.US_ASCII)));
					write(output, all.toString().getBytes(StandardCharsets.US_ASCII));
				}
				case SLOW -> {
					write(output, first.head(body.length).getBytes(StandardCharsets.US_ASCII));
					if (!sendSlowly(body, output, input)) {
						return;
					}
				}
				case CONTINUE -> {
					write(output, first.head(body.length).getBytes(StandardCharsets.US_ASCII));
					StopResponse interim = StopResponse.read(input);
					if (interim.status() != 100) {
						first.response = interim;
						return;
					}
					write(output, body);
				}
			}
			batch.forEach((request) -> request.sentNanos = System.nanoTime());
		}
		catch (IOException ex) {
			// Shown by what is read.
		}
	}

	private boolean sendSlowly(byte[] body, OutputStream output, InputStream input) throws IOException {
		int sent = 0;
		for (int part = 1; part <= SLOW_PARTS; part++) {
			int end = body.length * part / SLOW_PARTS;
			output.write(body, sent, end - sent);
			sent = end;
			if (part < SLOW_PARTS) {
				pause(2 * SLOW_PART_MS);
				if (input.available() > 0) {
					return false;
				}
			}
		}
		return true;
	}

	private static byte[] bytes(StopRequest request, byte[] body) {
		String text = new String(body, StandardCharsets.US_ASCII);
		String framed = (request.framing != Framing.CHUNKS) ? text
				: Integer.toHexString(body.length) + "\r\n" + text + "\r\n0\r\n\r\n";
		return (request.head(body.length) + framed).getBytes(StandardCharsets.US_ASCII);
	}

	private static void write(OutputStream output, byte[] bytes) throws IOException {
		output.write(bytes);
		output.flush();
	}

	private void pause(int maxMs) {
		try {
			TimeUnit.MILLISECONDS.sleep(this.random.nextInt(maxMs));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
