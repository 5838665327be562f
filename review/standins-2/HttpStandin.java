import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with one thread for each connection, on a loopback address. */
final class HttpStandin {

	/** Handles one request. */
	interface Handler {

		void handle(Request request, Answer answer) throws IOException, InterruptedException;

	}

	private final InetSocketAddress address;

	private final Handler handler;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile ServerSocket listener;

	HttpStandin(String host, int port, Handler handler) throws IOException {
		this.handler = handler;
		this.listener = listen(new InetSocketAddress(host, port));
		this.address = new InetSocketAddress(InetAddress.getByName(host), this.listener.getLocalPort());
		startAccepting(this.listener);
	}

	private static ServerSocket listen(InetSocketAddress at) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(at, 256);
		return socket;
	}

	String address() {
		return this.address.getAddress().getHostAddress() + ":" + this.address.getPort();
	}

	int connections() {
		return this.sockets.size();
	}

	/** Refuses connections and resets the open ones, as a server that is down. */
	void down() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			try {
				socket.setSoLinger(true, 0);
			}
			catch (IOException ex) {
				// The socket is closed already.
			}
			socket.close();
		}
	}

	void up() throws IOException {
		this.listener = listen(this.address);
		startAccepting(this.listener);
	}

	private void startAccepting(ServerSocket from) {
		daemon(() -> {
			while (!from.isClosed()) {
				try {
					Socket socket = from.accept();
					socket.setTcpNoDelay(true);
					this.sockets.add(socket);
					daemon(() -> serve(socket));
				}
				catch (IOException ex) {
					// The listener is closed, or the connection is gone already.
				}
			}
		});
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(null, task, "standin", 128 << 10);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 64 << 10);
			boolean open = true;
			while (open) {
				Request request = Request.read(in);
				if (request == null) {
					return;
				}
				Answer answer = new Answer(out, socket);
				this.handler.handle(request, answer);
				open = !answer.closes;
			}
		}
		catch (IOException | InterruptedException | RuntimeException ex) {
			// The peer has closed or reset the connection.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int each = in.read();
		if (each < 0) {
			return null;
		}
		while (each >= 0 && each != '\n') {
			if (each != '\r') {
				line.write(each);
			}
			each = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		String line = readLine(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
			line = readLine(in);
		}
		if (line == null) {
			throw new IOException("connection closed inside a head");
		}
		return headers;
	}

	static byte[] readExactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new IOException("connection closed inside a body");
		}
		return bytes;
	}

	/** A request with its whole body. */
	record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

		static Request read(InputStream in) throws IOException {
			String line = readLine(in);
			if (line == null) {
				return null;
			}
			String[] words = line.split(" ");
			Map<String, String> headers = readHeaders(in);
			byte[] body = readExactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
			int mark = words[1].indexOf('?');
			Map<String, String> query = new TreeMap<>();
			if (mark >= 0) {
				for (String pair : words[1].substring(mark + 1).split("&")) {
					int equals = pair.indexOf('=');
					query.put(pair.substring(0, equals),
							URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
			return new Request(words[0], (mark < 0) ? words[1] : words[1].substring(0, mark), query, headers, body);
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** The answer to one request. */
	static final class Answer {

		private final OutputStream out;

		private final Socket socket;

		private boolean closes;

		Answer(OutputStream out, Socket socket) {
			this.out = out;
			this.socket = socket;
		}

		String peer() {
			return this.socket.getInetAddress().getHostAddress();
		}

		void send(int status, Map<String, ?> headers, byte[] body) throws IOException {
			head(status, headers, "Content-Length: " + body.length);
			this.out.write(body);
			this.out.flush();
		}

		void sendJson(int status, Map<String, ?> headers, Object value) throws IOException {
			Map<String, Object> all = new TreeMap<>(headers);
			all.put("Content-Type", "application/json");
			send(status, all, Json.write(value).getBytes(StandardCharsets.UTF_8));
		}

		void startChunks(int status, Map<String, ?> headers) throws IOException {
			head(status, headers, "Transfer-Encoding: chunked");
			this.out.flush();
		}

		void chunk(String text) throws IOException {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			this.out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			this.out.write(bytes);
			this.out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
			this.out.flush();
		}

		void endChunks() throws IOException {
			this.out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			this.out.flush();
		}

		private void head(int status, Map<String, ?> headers, String framing) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n" + framing + "\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			this.out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
		}

	}

}
