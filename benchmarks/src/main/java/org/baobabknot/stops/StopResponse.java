package org.baobabknot.stops;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * What a caller received for a request.
 *
 * @param status status, 0 without a head
 * @param complete whether the response ended as its framing says
 * @param closes whether it closes its connection
 * @param events complete events of a stream
 * @param bytes received bytes of the body, -1 if not one byte of a response was received
 */
record StopResponse(int status, boolean complete, boolean closes, int events, int bytes) {

	static final StopResponse NONE = new StopResponse(0, false, true, 0, -1);

	/**
	 * Reads a response, or an interim one.
	 * @param input the connection
	 * @return what was received until the response or the connection ended
	 */
	static StopResponse read(InputStream input) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		int status = 0;
		boolean any = false;
		boolean closes = false;
		boolean complete = false;
		try {
			String first = line(input);
			any = true;
			status = Integer.parseInt(first.split(" ")[1]);
			int length = (status == 100) ? 0 : -1;
			boolean chunked = false;
			for (String next = line(input); !next.isEmpty(); next = line(input)) {
				String header = next.toLowerCase(Locale.ROOT);
				closes |= header.equals("connection: close");
				chunked |= header.equals("transfer-encoding: chunked");
				if (header.startsWith("content-length:")) {
					length = Integer.parseInt(header.substring(15).strip());
				}
			}
			if (chunked) {
				readChunks(input, body);
			}
			else {
				body.write(input.readNBytes(Math.max(0, length)));
			}
			complete = chunked || (length >= 0 && body.size() == length);
		}
		catch (IOException | NumberFormatException ex) {
			// What was received before counts.
		}
		String text = body.toString(StandardCharsets.US_ASCII);
		int events = (text.startsWith("id: ")) ? text.split("\n\n", -1).length - 1 : 0;
		return new StopResponse(status, complete, closes || !complete, events, (any) ? body.size() : -1);
	}

	private static void readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
		for (int length = Integer.parseInt(line(input), 16); length > 0; length = Integer.parseInt(line(input), 16)) {
			body.write(input.readNBytes(length));
			line(input);
		}
		line(input);
	}

	private static String line(InputStream input) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				throw new IOException("the connection was closed");
			}
			if (next != '\r') {
				text.append((char) next);
			}
		}
		return text.toString();
	}

}
