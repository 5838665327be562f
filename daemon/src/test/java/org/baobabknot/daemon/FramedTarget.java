package org.baobabknot.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A target whose paths name the framing of its responses: {@code /length},
 * {@code /chunks} and {@code /unframed} last for 20 s, {@code /whole-length} and
 * {@code /whole-chunks} have 4 MB at once, and {@code /orders} and {@code /silent} get no
 * response.
 */
final class FramedTarget implements AutoCloseable {

	static final int LARGE_BYTES = 4 << 20;

	private static final int PARTS = 200;

	private static final String PART = "part\n";

	private static final int BLOCK_BYTES = 1 << 16;

	private final ServerSocket server = new ServerSocket(0);

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	FramedTarget() throws IOException {
		this.threads.execute(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Closes all connections, as the end of its process does.
	 * @throws IOException if one was not closed
	 */
	void cut() throws IOException {
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket connection = this.server.accept();
				this.connections.add(connection);
				this.threads.execute(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			String path = readRequest(connection.getInputStream());
			while (!path.isEmpty()) {
				respond(path, connection.getOutputStream());
				path = (path.equals("/unframed")) ? "" : readRequest(connection.getInputStream());
			}
		}
		catch (IOException ex) {
			// The agent or a test has closed the connection.
			this.connections.remove(connection);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		int next = input.read();
		while (next >= 0) {
			head.append((char) next);
			if (head.toString().endsWith("\r\n\r\n")) {
				String length = head.toString().replaceAll("(?is).*content-length: *(\\d+).*", "$1");
				input.readNBytes(length.matches("\\d+") ? Integer.parseInt(length) : 0);
				return head.toString().split(" ")[1];
			}
			next = input.read();
		}
		return "";
	}

	private static void respond(String path, OutputStream output) throws IOException, InterruptedException {
		boolean large = path.startsWith("/whole");
		boolean chunked = path.endsWith("chunks");
		int length = (large) ? LARGE_BYTES : PARTS * PART.length();
		if (path.equals("/orders") || path.equals("/silent")) {
			Thread.sleep(Long.MAX_VALUE);
		}
		String framing = (chunked) ? "Transfer-Encoding: chunked\r\n"
				: (path.endsWith("length")) ? "Content-Length: " + length + "\r\n" : "Connection: close\r\n";
		output.write(("HTTP/1.1 200 OK\r\n" + framing + "\r\n").getBytes(StandardCharsets.UTF_8));
		byte[] part = (large) ? "x".repeat(BLOCK_BYTES).getBytes(StandardCharsets.UTF_8)
				: PART.getBytes(StandardCharsets.UTF_8);
		for (int sent = 0; sent < length; sent += part.length) {
			writePart(part, chunked, output);
			Thread.sleep((large) ? 0 : ProcessFixture.PART_INTERVAL_MS);
		}
		if (chunked) {
			output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
		}
	}

	private static void writePart(byte[] part, boolean chunked, OutputStream output) throws IOException {
		if (chunked) {
			output.write((Integer.toHexString(part.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
		}
		output.write(part);
		if (chunked) {
			output.write("\r\n".getBytes(StandardCharsets.UTF_8));
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		cut();
		this.threads.shutdownNow();
	}

}
