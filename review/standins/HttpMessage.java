package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head and body of an HTTP/1.1 request or response, read from a stream. */
final class HttpMessage {

	String firstLine;

	final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	byte[] body = new byte[0];

	/** Whether the whole body arrived. */
	boolean whole;

	String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	int status() {
		return Integer.parseInt(this.firstLine.split(" ")[1]);
	}

	static HttpMessage readHead(InputStream in) throws IOException {
		HttpMessage message = new HttpMessage();
		message.firstLine = line(in);
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
		}
		return message;
	}

	/** Reads a response whole; a body that is cut off leaves {@link #whole} false. */
	static HttpMessage readResponse(InputStream in) throws IOException {
		HttpMessage message = readHead(in);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			if (message.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
				for (int size = chunk(in); size > 0; size = chunk(in)) {
					bytes.write(exactly(in, size));
					line(in);
				}
				line(in);
				message.whole = true;
			}
			else if (message.headers.containsKey("Content-Length")) {
				bytes.write(exactly(in, Integer.parseInt(message.header("Content-Length"))));
				message.whole = true;
			}
			else {
				in.transferTo(bytes);
				message.whole = true;
			}
		}
		catch (IOException ex) {
			message.whole = false;
		}
		message.body = bytes.toByteArray();
		return message;
	}

	/** Reads the body of a request. */
	void readRequestBody(InputStream in) throws IOException {
		if (this.headers.containsKey("Content-Length")) {
			this.body = exactly(in, Integer.parseInt(header("Content-Length")));
		}
	}

	private static int chunk(InputStream in) throws IOException {
		return Integer.parseInt(line(in).strip(), 16);
	}

	private static byte[] exactly(InputStream in, int count) throws IOException {
		byte[] bytes = in.readNBytes(count);
		if (bytes.length < count) {
			throw new EOFException();
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int read = in.read(); read != '\n'; read = in.read()) {
			if (read < 0) {
				throw new EOFException();
			}
			if (read != '\r') {
				bytes.write(read);
			}
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

}
