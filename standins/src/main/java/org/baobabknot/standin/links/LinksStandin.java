package org.baobabknot.standin.links;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.baobabknot.standin.BodySink;
import org.baobabknot.standin.Call;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.LinkRate;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the links between failure domains, made of TCP forwarders. All connections
 * between two failure domains share one rate for each direction. Faults have the failure
 * domains {@code from} and {@code to} ({@code *} for any, in either order): {@code cut}
 * closes connections and refuses new ones, {@code silent} permanently stops delivering
 * data on existing connections while new ones work, {@code stall} delays all data until
 * the fault is cleared. {@code PUT /v1/forwarders} with {@code from}, {@code to},
 * {@code host} and {@code port} opens a forwarder and responds with its port.
 */
public final class LinksStandin implements Standin {

	private final List<LinkSettings> settings;

	private final Map<String, LinkRate> rates = new HashMap<>();

	private final List<Forwarder> forwarders = new ArrayList<>();

	private final List<Channel> listeners = new ArrayList<>();

	private final Set<LinkConnection> connections = new HashSet<>();

	private @Nullable StandinServer server;

	/**
	 * Creates links without forwarders.
	 * @param settings settings by pair of failure domains; the first that matches is used
	 */
	public LinksStandin(List<LinkSettings> settings) {
		this.settings = List.copyOf(settings);
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("cut", "silent", "stall");
	}

	@Override
	public void attach(StandinServer server) {
		this.server = server;
	}

	StandinServer server() {
		if (this.server == null) {
			throw new IllegalStateException("links are not attached");
		}
		return this.server;
	}

	/**
	 * Opens a forwarder.
	 * @param from the failure domain of the connecting side
	 * @param to the failure domain of the target
	 * @param host the host of the target
	 * @param port the port of the target
	 * @return the port on 127.0.0.1 to connect to
	 */
	public int openForwarder(String from, String to, String host, int port) {
		Channel listener = bind(from, to, new InetSocketAddress(host, port)).syncUninterruptibly().channel();
		return port(listener);
	}

	private ChannelFuture bind(String from, String to, InetSocketAddress target) {
		Forwarder forwarder = new Forwarder(from, to, target);
		return new ServerBootstrap().group(server().loop(), server().loop())
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LinkDirection.MAX_PART_BYTES))
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					accept(forwarder, channel);
				}
			})
			.bind(new InetSocketAddress("127.0.0.1", 0))
			.addListener((ChannelFuture bound) -> {
				if (bound.isSuccess()) {
					this.forwarders.add(forwarder);
					this.listeners.add(bound.channel());
				}
			});
	}

	private static int port(Channel listener) {
		return ((InetSocketAddress) listener.localAddress()).getPort();
	}

	private void accept(Forwarder forwarder, Channel channel) {
		if (isAffected("cut", forwarder)) {
			channel.close();
			return;
		}
		LinkSettings link = settingsFor(forwarder);
		String forwardDirection = forwarder.from() + ">" + forwarder.to();
		String backwardDirection = forwarder.to() + ">" + forwarder.from();
		LinkConnection connection = new LinkConnection(this, forwarder, link.delayMillis(),
				rate(forwardDirection, link.bytesPerSecond()), rate(backwardDirection, link.bytesPerSecond()));
		this.connections.add(connection);
		connection.start(channel);
	}

	private LinkRate rate(String direction, long bytesPerSecond) {
		return this.rates.computeIfAbsent(direction, (key) -> new LinkRate(bytesPerSecond));
	}

	private LinkSettings settingsFor(Forwarder forwarder) {
		for (LinkSettings candidate : this.settings) {
			if (candidate.matches(forwarder.from(), forwarder.to())) {
				return candidate;
			}
		}
		return new LinkSettings(forwarder.from(), forwarder.to(), 0, 0);
	}

	boolean isAffected(String kind, Forwarder forwarder) {
		Optional<ObjectNode> fault = server().faults().find(kind);
		return fault.isPresent() && matches(fault.get(), forwarder);
	}

	private static boolean matches(ObjectNode fault, Forwarder forwarder) {
		return DomainPairs.matchesInAnyOrder(fault.path("from").asText("*"), fault.path("to").asText("*"),
				forwarder.from(), forwarder.to());
	}

	void removeConnection(LinkConnection connection) {
		this.connections.remove(connection);
	}

	@Override
	public void onFaultActivated(ObjectNode fault) {
		for (LinkConnection connection : List.copyOf(this.connections)) {
			if (!matches(fault, connection.forwarder())) {
				continue;
			}
			switch (fault.path("kind").asText()) {
				case "cut" -> connection.close();
				case "silent" -> connection.setSilent();
				default -> {
				}
			}
		}
	}

	@Override
	public void close() {
		this.listeners.forEach(Channel::close);
		kill();
	}

	@Override
	public void kill() {
		List.copyOf(this.connections).forEach(LinkConnection::close);
	}

	@Override
	public BodySink handleCall(Call call) {
		return BodySink.collecting((body) -> {
			if (!call.path().equals("/v1/forwarders") || !call.method().equals("PUT")) {
				call.respondWithError(404, "expected PUT /v1/forwarders");
				return;
			}
			ObjectNode request = JsonBody.parse(body);
			int port = request.path("port").asInt();
			if (port < 1 || port > 65535 || !request.has("from") || !request.has("to")) {
				throw new IllegalArgumentException("expected from, to, host and a port from 1 to 65535");
			}
			InetSocketAddress target = new InetSocketAddress(request.path("host").asText("127.0.0.1"), port);
			bind(request.path("from").asText(), request.path("to").asText(), target)
				.addListener((ChannelFuture bound) -> {
					if (bound.isSuccess()) {
						call.respond(200, JsonBody.object().put("port", port(bound.channel())));
					}
					else {
						call.respondWithError(500, String.valueOf(bound.cause()));
					}
				});
		});
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = JsonBody.object();
		node.put("connections", this.connections.size());
		ArrayNode list = node.putArray("forwarders");
		this.forwarders.forEach((forwarder) -> list.addObject()
			.put("from", forwarder.from())
			.put("to", forwarder.to())
			.put("target_port", forwarder.target().getPort())
			.put("forward_bytes", forwarder.forwardBytes())
			.put("back_bytes", forwarder.backwardBytes()));
		return node;
	}

}
