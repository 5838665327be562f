package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A gateway gets SIGTERM; clients with open connections send their next request 3.2 s later, which lasts 4.6 s.
 */
final class PlannedStop {

	private static final double SENT_AFTER_S = 3.2;

	private static final double GRACE_S = 8;

	private static final int EVENTS = 50;

	private static final long EVENT_MS = 90;

	public static void main(String[] arguments) {
		Site.run(arguments[0], PlannedStop::run);
	}

	private static boolean run(Site site) throws Exception {
		site.configure(3, List.of(Site.route("advice", "streaming", "advice"), Site.route("read", "safe", "orders")), 4_194_304);
		for (int index = 0; index < 2; index++) {
			Engine engine = site.engine("advice", Site.MODEL);
			engine.events = EVENTS;
			engine.eventMs = EVENT_MS;
		}
		site.engine("orders", "").firstByteMs = 20;
		site.startGateways(2);
		ExecutorService pool = Executors.newCachedThreadPool(Store::daemon);
		Gateway stopped = site.gateways.get(0);
		boolean broken = false;
		for (int round = 0; round < 3; round++) {
			List<Client> clients = new ArrayList<>();
			for (int index = 0; index < 6; index++) {
				clients.add(new Client(stopped));
			}
			for (Client client : clients) {
				client.send("first", "/read/x", "");
			}
			Thread.sleep(1_000);
			if (Site.trouble()) {
				stopped.signal("TERM");
			}
			double begin = Record.seconds();
			IdleCaller.sleepUntil(begin + SENT_AFTER_S);
			List<Future<Caller.Result>> answers = new ArrayList<>();
			for (Client client : clients) {
				answers.add(pool.submit(() -> client.send("stream", "/advice/x",
						Caller.prompt(Site.MODEL, "c0ffee01:40", Long.toHexString(System.nanoTime()) + ":50"))));
			}
			int cut = 0;
			int whole = 0;
			int refused = 0;
			for (Future<Caller.Result> answer : answers) {
				Caller.Result result = answer.get();
				boolean passedOn = Engine.ARRIVALS.stream().anyMatch((arrival) -> arrival.requestId().equals(result.id()));
				whole += (result.status() == 200 && result.whole()) ? 1 : 0;
				refused += (result.status() == 503) ? 1 : 0;
				if (passedOn && !result.whole()) {
					cut++;
					Record.line("%s was passed on and cut %.2f s after the SIGTERM, %.2f s after it was sent", result.id(),
							result.ended() - begin, result.ended() - result.at());
				}
			}
			Record.verdict("round %d: of %d requests sent %.1f s after the SIGTERM, %d whole, %d refused, %d passed on and cut off",
					round + 1, answers.size(), SENT_AFTER_S, whole, refused, cut);
			broken |= cut > 0;
			for (Client client : clients) {
				client.close();
			}
			if (Site.trouble()) {
				IdleCaller.sleepUntil(begin + GRACE_S);
				stopped.kill();
				Thread.sleep(500);
				stopped.start();
				stopped.awaitReady();
				Thread.sleep(2_000);
			}
		}
		return broken;
	}

	/** A client that keeps its connection. */
	private static final class Client {

		private final Gateway gateway;

		private final Socket socket = new Socket();

		private final BufferedInputStream in;

		Client(Gateway gateway) throws IOException {
			this.gateway = gateway;
			this.socket.connect(new InetSocketAddress(gateway.host, gateway.port), 1_000);
			this.socket.setTcpNoDelay(true);
			this.socket.setSoTimeout(7_000);
			this.in = new BufferedInputStream(this.socket.getInputStream());
		}

		Caller.Result send(String tag, String path, String headers) {
			String id = Caller.nextId();
			double at = Record.seconds();
			Record.line("%s %s sent to %s on a kept connection: POST %s", tag, id, this.gateway.name(), path);
			int status = 0;
			boolean whole = false;
			boolean sealed = false;
			String text = "";
			try {
				this.socket.getOutputStream()
					.write(("POST " + path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + id
							+ "\r\nKey: key-a\r\nDeadline-Ms: 6042\r\nX-Sent-To: " + this.gateway.name() + "\r\n" + headers
							+ "Content-Length: 1\r\n\r\nq")
						.getBytes(StandardCharsets.ISO_8859_1));
				HttpMessage response = HttpMessage.readResponse(this.in);
				status = response.status();
				whole = response.whole;
				sealed = !response.header("Response-Seal").isEmpty();
				text = new String(response.body, StandardCharsets.UTF_8);
			}
			catch (IOException ex) {
				text = ex.toString();
			}
			Caller.Result result = new Caller.Result(at, Record.seconds(), id, this.gateway.name(), tag, status, whole, sealed, text);
			Record.line("%s %s answered %d%s, %d events", tag, id, status, (whole) ? "" : " (not whole)",
					text.split("data: piece ", -1).length - 1);
			return result;
		}

		void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed in any case.
			}
		}

	}

}
