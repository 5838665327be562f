package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine of a service, as the pages describe it: answers requests with an event stream or a plain body, crashes
 * when it begins to write on a deadly part, and is back after some seconds as a new incarnation.
 */
final class Engine implements AutoCloseable {

	/** A request that reached an engine. */
	record Arrival(double at, String requestId, String engine, String path, String prefix, String from, boolean misdirected) {
	}

	static final List<Arrival> ARRIVALS = new CopyOnWriteArrayList<>();

	/** Times of crashes under the deadly part, in seconds. */
	static final List<Double> CRASHES = new CopyOnWriteArrayList<>();

	private static final AtomicInteger INCARNATIONS = new AtomicInteger();

	private final Store store;

	private final String service;

	private final String zone;

	private final String model;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	/** Connections of incarnations without power, on which nothing is sent any more, not even an end. */
	private final Set<Socket> lostSockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger running = new AtomicInteger();

	/** Whether the machine of the engine is without power: it is silent, and its connections are too. */
	private volatile boolean dark;

	/** Whether answers have neither a length nor chunks and end with their connection. */
	volatile boolean unframed;

	/** Whether the engine leaves, which it says in all its answers. */
	volatile boolean leaving;

	private volatile ServerSocket server;

	private volatile String id;

	private final int port;

	/** Part of a prompt on which the engine crashes, empty for none. */
	volatile String deadlyPart = "";

	/** Bytes of the answer that leave the engine before it crashes: 0 for none. */
	volatile int bytesBeforeCrash;

	private final AtomicInteger lives = new AtomicInteger();

	long firstByteMs = 80;

	int events = 5;

	long eventMs = 20;

	int slots = 16;

	long downMs = 3_000;


	Engine(Store store, String service, String zone, String model) throws IOException {
		this.store = store;
		this.service = service;
		this.zone = zone;
		this.model = model;
		ServerSocket first = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
		this.port = first.getLocalPort();
		begin(first);
	}

	String id() {
		return this.id;
	}

	private void begin(ServerSocket socket) {
		this.server = socket;
		this.id = String.format("i-%010x", 0x5a00000000L + INCARNATIONS.incrementAndGet());
		list("ready");
		Record.line("engine %s of %s starts at port %d", this.id, this.service, this.port);
		Store.daemon(() -> accept(socket)).start();
	}

	void list(String state) {
		String models = (this.model.isEmpty()) ? "" : ",\"models\":[{\"name\":" + Json.quote(this.model)
				+ ",\"version\":1,\"adapters\":[],\"layers\":{\"from\":0,\"target\":16,\"version\":1}}]";
		this.store.put("servers/" + this.id,
				"{\"service\":" + Json.quote(this.service) + ",\"address\":\"127.0.0.1:" + this.port + "\",\"zone\":"
						+ Json.quote(this.zone) + ",\"version\":\"v1\",\"slots\":" + this.slots
						+ ",\"state\":" + Json.quote(state) + ",\"cold_left_ms\":0,\"seq\":1,\"born\":" + System.currentTimeMillis()
						+ models + "}");
	}

	private void accept(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				Socket connection = socket.accept();
				if (this.dark) {
					this.lostSockets.add(connection);
					continue;
				}
				connection.setTcpNoDelay(true);
				this.sockets.add(connection);
				Store.daemon(() -> serve(connection)).start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		String incarnation = this.id;
		int life = this.lives.get();
		try {
			BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			while (true) {
				HttpMessage request = HttpMessage.readHead(in);
				String from = request.header("X-Sent-To");
				String requestId = request.header("Request-Id");
				ARRIVALS.add(new Arrival(Record.seconds(), requestId, incarnation, request.firstLine.split(" ")[1],
						request.header("Prefix-Hash"), from, !request.header("Expect-Instance").isEmpty()
						&& !request.header("Expect-Instance").equals(incarnation)));
				Record.line("request %s reaches engine %s from %s, prefix %s", requestId, incarnation, from,
						request.header("Prefix-Hash"));
				request.readRequestBody(in);
				if (!request.header("Expect-Instance").isEmpty() && !request.header("Expect-Instance").equals(incarnation)) {
					send(out, "HTTP/1.1 421 Misdirected\r\nRequest-Id: " + requestId + "\r\nNot-Executed: 1\r\nAt-Server: "
							+ incarnation + "\r\nContent-Length: 0\r\n\r\n");
					continue;
				}
				this.running.incrementAndGet();
				try {
					answer(incarnation, life, request, requestId, in, connection, out);
				}
				finally {
					this.running.decrementAndGet();
				}
				if (this.unframed) {
					connection.close();
					return;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The gateway has closed the connection, or the engine has crashed.
		}
		finally {
			this.sockets.remove(connection);
			if (!this.lostSockets.contains(connection)) {
				try {
					connection.close();
				}
				catch (IOException ex) {
					// It is closed in any case.
				}
			}
		}
	}

	/**
	 * The machine loses power without a sign on any connection, and the engine starts again under the same id.
	 * @param ms time without power
	 */
	void goDark(long ms) {
		Record.line("engine %s goes dark for %d ms", this.id, ms);
		this.dark = true;
		this.lives.incrementAndGet();
		this.lostSockets.addAll(this.sockets);
		Store.daemon(() -> {
			try {
				Thread.sleep(ms);
			}
			catch (InterruptedException ex) {
				return;
			}
			this.dark = false;
			list("ready");
			Record.line("engine %s has started again", this.id);
		}).start();
	}

	private void answer(String incarnation, int life, HttpMessage request, String requestId, BufferedInputStream in, Socket connection,
			OutputStream out)
			throws IOException, InterruptedException {
		Thread.sleep(this.firstByteMs);
		if (this.server.isClosed() || !this.id.equals(incarnation)) {
			throw new IOException("crashed");
		}
		failIfDark(life);
		if (hasLeft(in, connection)) {
			Record.line("engine %s drops %s, whose connection has closed", incarnation, requestId);
			throw new IOException("left");
		}
		String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: seal-" + requestId
				+ "\r\nServer-Load: " + this.running.get() + ",0," + this.slots + "\r\n"
				+ ((this.leaving) ? "Server-Leaving: 1\r\n" : "")
				+ ((this.model.isEmpty()) ? "" : "Weight-Versions: 1\r\n");
		if (this.model.isEmpty()) {
			byte[] body = ("answer of " + this.service + " to " + requestId).getBytes(StandardCharsets.UTF_8);
			send(out, head + "Content-Type: text/plain\r\nContent-Length: " + body.length + "\r\n\r\n"
					+ new String(body, StandardCharsets.UTF_8));
			return;
		}
		String first = head + "Content-Type: text/event-stream\r\n" + ((this.unframed) ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n")
				+ "\r\n";
		if (!this.deadlyPart.isEmpty() && request.header("Prefix-Hash").contains(this.deadlyPart + ":")) {
			if (this.bytesBeforeCrash > 0) {
				String begun = first + chunk("id: 0\ndata: piece 0\n\n") + "16\r\nid: 1\ndata: pi";
				send(out, begun.substring(0, Math.min(begun.length(), this.bytesBeforeCrash)));
			}
			crash(requestId);
			return;
		}
		send(out, first);
		Record.line("engine %s begins to answer %s", incarnation, requestId);
		for (int number = 0; number < this.events; number++) {
			failIfDark(life);
			String event = "id: " + number + "\ndata: piece " + number + " of " + this.events + "\n\n";
			send(out, (this.unframed) ? event : chunk(event));
			Thread.sleep(this.eventMs);
		}
		failIfDark(life);
		if (!this.unframed) {
			send(out, "0\r\n\r\n");
		}
		Record.line("engine %s has sent all %d events of %s", incarnation, this.events, requestId);
	}

	private void failIfDark(int life) throws IOException {
		if (life != this.lives.get()) {
			throw new IOException("without power");
		}
	}

	private static boolean hasLeft(BufferedInputStream in, Socket connection) throws IOException {
		connection.setSoTimeout(1);
		try {
			in.mark(1);
			boolean left = in.read() < 0;
			in.reset();
			return left;
		}
		catch (java.net.SocketTimeoutException ex) {
			return false;
		}
		finally {
			connection.setSoTimeout(0);
		}
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private static void send(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private synchronized void crash(String requestId) {
		if (this.server.isClosed()) {
			return;
		}
		String crashed = this.id;
		CRASHES.add(Record.seconds());
		Record.line("engine %s CRASHES on request %s (crash %d)", crashed, requestId, CRASHES.size());
		stop();
		Store.daemon(() -> {
			try {
				Thread.sleep(this.downMs);
				this.store.remove("servers/" + crashed);
				ServerSocket again = new ServerSocket();
				again.setReuseAddress(true);
				again.bind(new InetSocketAddress("127.0.0.1", this.port), 128);
				begin(again);
			}
			catch (IOException | InterruptedException ex) {
				Record.line("engine at port %d is not back: %s", this.port, ex);
			}
		}).start();
	}

	private void stop() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// It is closed in any case.
		}
		for (Socket socket : new ArrayList<>(this.sockets)) {
			try {
				socket.close();
			}
			catch (IOException ex) {
				// It is closed in any case.
			}
		}
	}

	@Override
	public void close() {
		stop();
	}

}
