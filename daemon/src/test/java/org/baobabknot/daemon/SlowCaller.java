package org.baobabknot.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A caller that reads 200 kB a second.
 */
public final class SlowCaller {

	private static final int READ_BYTES = 20_000;

	private static final long READ_INTERVAL_MS = 100;

	private static final int RECEIVE_BUFFER_BYTES = 1 << 15;

	private SlowCaller() {
	}

	/**
	 * Sends a request and reads until the connection ends.
	 * @param host loopback address
	 * @param port port
	 * @param request the request
	 * @return what the caller has received
	 */
	public static Received exchange(String host, int port, String request) {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			socket.connect(new InetSocketAddress(host, port));
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			byte[] buffer = new byte[READ_BYTES];
			int count = socket.getInputStream().read(buffer);
			while (count >= 0) {
				received.write(buffer, 0, count);
				Thread.sleep(READ_INTERVAL_MS);
				count = socket.getInputStream().read(buffer);
			}
			return new Received(received.toString(StandardCharsets.ISO_8859_1), false);
		}
		catch (IOException ex) {
			return new Received(received.toString(StandardCharsets.ISO_8859_1), true);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * What a caller has received.
	 *
	 * @param text head and body with their framing
	 * @param reset whether the connection was reset
	 */
	public record Received(String text, boolean reset) {

		private static final String HEAD_END = "\r\n\r\n";

		/**
		 * Returns the body of a response, with the framing of its chunks.
		 * @return the body
		 */
		public String body() {
			return this.text.substring(this.text.indexOf(HEAD_END) + HEAD_END.length());
		}

		/**
		 * Tells whether a chunked response has its last chunk.
		 * @return whether it ends as its framing says
		 */
		public boolean hasLastChunk() {
			return this.text.endsWith("0" + HEAD_END);
		}

	}

}
