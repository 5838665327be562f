package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends one request on a new connection and records its answer. */
final class Caller {

	/** A request attempt and how it ended: status 0 for no answer. */
	record Result(double at, double ended, String id, String gateway, String tag, int status, boolean whole, boolean sealed,
			String body) {
	}

	static final List<Result> RESULTS = new CopyOnWriteArrayList<>();

	/** Gap in a stream after which its client leaves, in ms, 0 for its deadline. */
	static volatile int streamGapMs;

	private static final AtomicInteger COUNT = new AtomicInteger();

	private Caller() {
	}

	static String nextId() {
		return String.format("%016x", 0x7c00000000000000L + COUNT.incrementAndGet());
	}

	static Result send(Gateway gateway, String tag, String path, String key, String headers, byte[] body, int deadlineMs) {
		String id = nextId();
		double at = Record.seconds();
		Record.line("%s %s sent to %s: POST %s", tag, id, gateway.name(), path);
		int status = 0;
		boolean whole = false;
		boolean sealed = false;
		String text = "";
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(gateway.host, gateway.port), 1_000);
			socket.setSoTimeout((streamGapMs > 0) ? streamGapMs : deadlineMs + 1_000);
			socket.setTcpNoDelay(true);
			socket.getOutputStream().write(("POST " + path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + id + "\r\nKey: "
					+ key + "\r\nDeadline-Ms: " + deadlineMs + "\r\nX-Sent-To: " + gateway.name() + "\r\n" + headers
					+ "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(body);
			HttpMessage response = HttpMessage.readResponse(new BufferedInputStream(socket.getInputStream()));
			status = response.status();
			whole = response.whole;
			sealed = !response.header("Response-Seal").isEmpty();
			text = new String(response.body, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			text = ex.toString();
		}
		Result result = new Result(at, Record.seconds(), id, gateway.name(), tag, status, whole, sealed, text);
		RESULTS.add(result);
		Record.line("%s %s answered %d%s%s%s", tag, id, status, (whole) ? "" : " (not whole)", (sealed) ? " of an engine" : "",
				(status == 200) ? "" : " " + text);
		return result;
	}

	static String prompt(String model, String... parts) {
		return "Model: " + model + "\r\nToken-Counts: 200,30\r\nPrefix-Hash: " + String.join(",", parts) + "\r\n";
	}

}
