import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests as clients do, each on a new connection, and records their ends. */
final class Caller {

	private static final AtomicLong NUMBER = new AtomicLong();

	private final Record record;

	Caller(Record record) {
		this.record = record;
	}

	/** The answer that a client got; status 0 for none or an incomplete one. */
	record Result(String id, int status, String body, double sentSeconds) {
	}

	/**
	 * Sends a request and waits for its end.
	 * @param gateway loopback address of the gateway
	 * @param method HTTP method
	 * @param path path, of the host that all routes have
	 * @param headers further headers
	 * @param deadlineMs time that the client waits
	 * @param logged whether to record the request
	 */
	Result call(String gateway, String method, String path, Map<String, String> headers, int deadlineMs,
			boolean logged) {
		String id = String.format("%016x", 0x9c00000000000000L + NUMBER.incrementAndGet());
		double sent = this.record.seconds();
		int status = 0;
		String body = "";
		String problem = "";
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(gateway, Ports.FRONT), 1_000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(deadlineMs);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: voka93.example\r\n");
			head.append("Request-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs + "\r\n");
			headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			byte[] payload = (method.equals("POST")) ? ("order " + id).getBytes(StandardCharsets.US_ASCII) : new byte[0];
			head.append((payload.length > 0) ? "Content-Length: " + payload.length + "\r\n\r\n" : "\r\n");
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.write(head.toString().getBytes(StandardCharsets.US_ASCII));
			request.write(payload);
			if (logged) {
				this.record.line("client sends " + id + " " + method + " " + path + " to " + gateway);
			}
			socket.getOutputStream().write(request.toByteArray());
			InputStream in = new BufferedInputStream(socket.getInputStream());
			String line = HttpStandin.readLine(in);
			if (line == null) {
				throw new IOException("closed without an answer");
			}
			Map<String, String> answerHeaders = HttpStandin.readHeaders(in);
			body = new String(body(in, answerHeaders), StandardCharsets.UTF_8);
			status = Integer.parseInt(line.split(" ")[1]);
		}
		catch (IOException ex) {
			problem = String.valueOf(ex);
		}
		if (logged) {
			String shown = (body.length() <= 160) ? body : body.length() + " bytes";
			this.record.line("client gets  " + id + " " + status + " "
					+ ((status == 200) ? body.length() + " bytes" : shown.replace('\n', ' ')) + problem);
		}
		return new Result(id, status, body, sent);
	}

	private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
		if (!headers.getOrDefault("Transfer-Encoding", "").equals("chunked")) {
			return HttpStandin.readExactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
		}
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		int length = Integer.parseInt(HttpStandin.readLine(in), 16);
		while (length > 0) {
			whole.write(HttpStandin.readExactly(in, length));
			HttpStandin.readLine(in);
			String line = HttpStandin.readLine(in);
			if (line == null) {
				throw new IOException("connection closed inside a body");
			}
			length = Integer.parseInt(line, 16);
		}
		return whole.toByteArray();
	}

	/** Returns whether a gateway says that it is ready, at the path of deploy/wire.toml. */
	static boolean isReady(String host) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host, Ports.READY), 500);
			socket.setSoTimeout(500);
			socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			String line = HttpStandin.readLine(new BufferedInputStream(socket.getInputStream()));
			return line != null && line.contains(" 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	static void awaitReady(String... hosts) {
		long end = System.nanoTime() + 30_000_000_000L;
		for (String host : hosts) {
			while (!isReady(host)) {
				if (System.nanoTime() - end > 0) {
					throw new IllegalStateException("the gateway at " + host + " is not ready after 30 s");
				}
				StoreStandin.pause(50);
			}
		}
	}

}
