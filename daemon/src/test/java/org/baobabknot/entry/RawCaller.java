package org.baobabknot.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Caller that writes bytes unchanged and fails on incomplete responses.
 */
final class RawCaller implements AutoCloseable {

	final Socket socket;

	private final InputStream in;

	RawCaller(int port) throws IOException {
		this.socket = new Socket("127.0.0.1", port);
		this.socket.setSoTimeout(20_000);
		this.in = this.socket.getInputStream();
	}

	RawCaller write(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		return this;
	}

	RawCaller post(String path, String body, String... headers) throws IOException {
		StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Workspace: w\r\n");
		for (String header : headers) {
			head.append(header).append("\r\n");
		}
		return write(head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
	}

	/**
	 * Reads one response.
	 * @return the response
	 * @throws IOException if the connection ends before the response is complete
	 */
	Response readResponse() throws IOException {
		String[] statusLine = readLine().split(" ", 3);
		Map<String, String> headers = new HashMap<>();
		for (String line = readLine(); !line.isEmpty(); line = readLine()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.containsKey("content-length")) {
			readExactly(Integer.parseInt(headers.get("content-length")), body);
		}
		else if (headers.containsKey("transfer-encoding")) {
			int size;
			do {
				size = Integer.parseInt(readLine(), 16);
				readExactly(size, body);
				readLine();
			}
			while (size > 0);
		}
		return new Response(Integer.parseInt(statusLine[1]), headers, body.toString(StandardCharsets.ISO_8859_1));
	}

	boolean endsWithinResponse() {
		try {
			readResponse();
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

	int readByte() throws IOException {
		return this.in.read();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = this.in.read(); next != '\n'; next = this.in.read()) {
			if (next < 0) {
				throw new IOException("the connection ended within a response");
			}
			line.append((char) next);
		}
		return line.toString().strip();
	}

	private void readExactly(int size, ByteArrayOutputStream body) throws IOException {
		byte[] bytes = this.in.readNBytes(size);
		if (bytes.length < size) {
			throw new IOException("the connection ended within a body");
		}
		body.write(bytes);
	}

	/**
	 * A complete response.
	 *
	 * @param status HTTP status
	 * @param headers headers with names in lower case
	 * @param body the body
	 */
	record Response(int status, Map<String, String> headers, String body) {
	}

}
