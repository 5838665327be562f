package org.baobabknot.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.members.MembersStandin;
import org.baobabknot.standin.store.StoreSettings;
import org.baobabknot.standin.store.StoreStandin;

/**
 * An entry and an agent as separate processes with mutual TLS, the stand-ins of store and
 * member list, and a target that streams its responses.
 */
final class ProcessFixture implements AutoCloseable {

	/** Number of parts of a response; one is sent each {@link #PART_INTERVAL_MS}. */
	static final int PART_COUNT = 20;

	static final long PART_INTERVAL_MS = 100;

	static final String RESPONSE_BODY = "part\n".repeat(PART_COUNT);

	final Process entry;

	final Process agent;

	private final Path directory;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final StandinServer store = StandinServer.start(this.group, 0, new StoreStandin(StoreSettings.defaults()));

	private final StandinServer members = StandinServer.start(this.group, 0, new MembersStandin(0));

	private final HttpServer target = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);

	private final HttpClient client = HttpClient.newHttpClient();

	private final int callerPort = TestPorts.findFree();

	private final int shutdownMs;

	ProcessFixture(Path directory) throws Exception {
		this(directory, 0, 120_000);
	}

	/**
	 * Starts the processes.
	 * @param directory directory of their settings and logs
	 * @param targetPort port of the target, 0 for the own one
	 * @param shutdownMs longest time in which open requests may complete after SIGTERM
	 * @throws Exception if they did not start
	 */
	ProcessFixture(Path directory, int targetPort, int shutdownMs) throws Exception {
		this.directory = directory;
		this.shutdownMs = shutdownMs;
		this.target.createContext("/", ProcessFixture::streamResponse);
		this.target.setExecutor(Executors.newCachedThreadPool());
		this.target.start();
		writeKeys();
		writeRules();
		this.entry = start("entry", settings("entry").set("http", address(this.callerPort)));
		ObjectNode target = JsonNodeFactory.instance.objectNode()
			.put("service", "s")
			.put("url", "http://127.0.0.1:" + ((targetPort > 0) ? targetPort : this.target.getAddress().getPort()))
			.put("kind", "plain")
			.put("coldLimit", 64)
			.put("capacity", 64);
		ObjectNode agentSettings = settings("agent").set("target", target);
		agentSettings.putObject("links").put("machineBytesPerSecond", 0).put("regionBytesPerSecond", 0);
		agentSettings.withObject("/platform").put("origin", "http://127.0.0.1:1");
		this.agent = start("agent", agentSettings);
		awaitReady();
	}

	CompletableFuture<HttpResponse<String>> sendRequest() {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.callerPort + "/s/stream"))
			.header("X-Workspace", "w")
			.timeout(Duration.ofSeconds(60))
			.POST(HttpRequest.BodyPublishers.ofString("request"))
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	List<CompletableFuture<HttpResponse<String>>> sendRequests(int count) {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			responses.add(sendRequest());
		}
		return responses;
	}

	int status(String path) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.callerPort + path)).build();
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	int callerPort() {
		return this.callerPort;
	}

	/**
	 * Sends a signal to a process.
	 * @param process the process
	 * @param name name of the signal without the prefix SIG
	 * @throws Exception if it was not sent
	 */
	static void signal(Process process, String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
	}

	String readLog(String name) throws IOException {
		return Files.readString(this.directory.resolve(name + ".log"));
	}

	@Override
	public void close() throws InterruptedException {
		this.entry.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
		this.agent.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
		this.target.stop(0);
		this.store.close();
		this.members.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private static void streamResponse(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.sendResponseHeaders(200, 0);
		try {
			for (int i = 0; i < PART_COUNT; i++) {
				exchange.getResponseBody().write("part\n".getBytes(StandardCharsets.UTF_8));
				exchange.getResponseBody().flush();
				Thread.sleep(PART_INTERVAL_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		exchange.close();
	}

	private Process start(String name, ObjectNode settings) throws IOException {
		Path file = this.directory.resolve(name + ".json");
		Files.writeString(file, settings.toString());
		return new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m",
				"-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), Baobabknotd.class.getName(),
				"--settings", file.toString())
			.redirectErrorStream(true)
			.redirectOutput(this.directory.resolve(name + ".log").toFile())
			.start();
	}

	private ObjectNode settings(String role) {
		ObjectNode settings = JsonNodeFactory.instance.objectNode()
			.put("role", role)
			.put("instance", role + "1")
			.put("failureDomain", "d")
			.put("region", "r");
		settings.set("listen", address(0));
		settings.set("operator", address(0));
		settings.putObject("platform").put("store", this.store.url()).put("members", this.members.url());
		settings.putObject("tls")
			.put("certificate", role + ".pem")
			.put("key", role + ".key")
			.put("authorities", "authorities.pem");
		settings.putObject("timeouts").put("balancerLagMs", 1_000).put("shutdownMs", this.shutdownMs);
		return settings;
	}

	private static ObjectNode address(int port) {
		return JsonNodeFactory.instance.objectNode().put("host", "127.0.0.1").put("port", port);
	}

	private void writeKeys() throws Exception {
		CertificateBuilder template = new CertificateBuilder().ecp256();
		X509Bundle authority = template.copy()
			.subject("CN=authority")
			.setIsCertificateAuthority(true)
			.buildSelfSigned();
		Files.writeString(this.directory.resolve("authorities.pem"), authority.getCertificatePEM());
		for (String name : List.of("entry", "agent")) {
			X509Bundle keys = template.copy().subject("CN=" + name).buildIssuedBy(authority);
			Files.writeString(this.directory.resolve(name + ".pem"), keys.getCertificatePathPEM());
			Files.writeString(this.directory.resolve(name + ".key"), keys.getPrivateKeyPEM());
		}
	}

	private void writeRules() throws Exception {
		String document = JsonNodeFactory.instance.objectNode()
			.put("revision", 1)
			.put("change_id", "c1")
			.put("text", "workspace w s # test: needed\nonce s POST /orders # test: needed\n")
			.toString();
		HttpRequest request = HttpRequest.newBuilder(URI.create(this.store.url() + "/v1/kv/baobabknot/rules?expect=0"))
			.PUT(HttpRequest.BodyPublishers.ofString(document))
			.build();
		HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
		if (response.statusCode() != 200) {
			throw new IllegalStateException(response.body());
		}
	}

	private void awaitReady() throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
		while (status("/readyz") != 200) {
			if (System.nanoTime() - deadlineNanos > 0 || !this.entry.isAlive() || !this.agent.isAlive()) {
				String logs = readLog("entry") + readLog("agent");
				close();
				throw new IllegalStateException("not ready: " + logs);
			}
			Thread.sleep(50);
		}
	}

}
