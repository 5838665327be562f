package org.baobabknot.standin;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * HTTP server of one stand-in on 127.0.0.1. Each server uses a single event loop, so that
 * several hundred servers fit in one process.
 */
public final class StandinServer implements AutoCloseable {

	/**
	 * Faults that every stand-in has: {@code freeze} delays all calls until the fault is
	 * cleared, {@code slow} delays each call by {@code ms}, {@code outage} responds with
	 * status 503 (or closes the connection with {@code "drop": true}), {@code kill}
	 * closes all connections and discards the state.
	 */
	private static final Set<String> COMMON_FAULTS = Set.of("freeze", "slow", "outage", "kill");

	private static final int CLOSE_TIMEOUT_SECONDS = 5;

	private final EventLoop loop;

	private final Standin standin;

	private final Faults faults = new Faults();

	private final ChannelGroup connections;

	private final Set<CallHandler> frozenHandlers = new HashSet<>();

	private final Channel listener;

	private StandinServer(EventLoop loop, int port, Standin standin) {
		this.loop = loop;
		this.standin = standin;
		this.connections = new DefaultChannelGroup(loop);
		standin.attach(this);
		this.listener = new ServerBootstrap().group(loop, loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 512)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					StandinServer.this.connections.add(channel);
					channel.pipeline().addLast(new HttpServerCodec(), new CallHandler(StandinServer.this));
				}
			})
			.bind(new InetSocketAddress("127.0.0.1", port))
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Starts a stand-in.
	 * @param group supplies the event loop
	 * @param port the port, or 0 for any free one
	 * @param standin the stand-in
	 * @return the server, bound
	 */
	public static StandinServer start(EventLoopGroup group, int port, Standin standin) {
		return new StandinServer(group.next(), port, standin);
	}

	/**
	 * Returns the port.
	 * @return the bound port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns the URL.
	 * @return the URL without a path
	 */
	public String url() {
		return "http://127.0.0.1:" + port();
	}

	/**
	 * Returns the event loop on which the stand-in runs.
	 * @return the event loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	/**
	 * Returns the active faults.
	 * @return the faults, to be used on the event loop only
	 */
	public Faults faults() {
		return this.faults;
	}

	/**
	 * Runs a task on the event loop and waits for its result. When called on the event
	 * loop, runs the task directly.
	 * @param task the task
	 * @param <T> the type of the result
	 * @return the result
	 */
	public <T> T callOnLoop(Callable<T> task) {
		try {
			return this.loop.inEventLoop() ? task.call()
					: this.loop.submit(task).get(CLOSE_TIMEOUT_SECONDS * 6L, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new IllegalStateException("task on the event loop of a stand-in failed", ex);
		}
	}

	/**
	 * Returns the record of what the stand-in received.
	 * @return the record
	 */
	public ObjectNode record() {
		return callOnLoop(this.standin::record);
	}

	/**
	 * Activates a fault.
	 * @param fault the fault with its {@code kind} and parameters
	 * @throws IllegalArgumentException when the stand-in does not have the fault
	 */
	public void activateFault(JsonNode fault) {
		String kind = fault.path("kind").asText();
		Set<String> validKinds = new TreeSet<>(COMMON_FAULTS);
		validKinds.addAll(this.standin.faultKinds());
		if (!validKinds.contains(kind) || !(fault instanceof ObjectNode object)) {
			throw new IllegalArgumentException("kind: expected one of " + validKinds);
		}
		callOnLoop(() -> {
			if (kind.equals("kill")) {
				kill();
				return null;
			}
			this.faults.set(object);
			this.standin.onFaultActivated(object);
			return null;
		});
	}

	/**
	 * Clears one fault or all faults.
	 * @param kind the kind of fault, or empty for all
	 */
	public void clearFaults(Optional<String> kind) {
		callOnLoop(() -> {
			this.faults.clear(kind);
			this.standin.onFaultsCleared();
			if (!this.faults.isActive("freeze")) {
				Set<CallHandler> released = Set.copyOf(this.frozenHandlers);
				this.frozenHandlers.clear();
				released.forEach(CallHandler::releaseHeldMessages);
			}
			return null;
		});
	}

	private void kill() {
		this.standin.kill();
		dropConnections();
	}

	/**
	 * Closes all connections except those that are handling a control call, so that its
	 * response can be sent.
	 */
	public void dropConnections() {
		this.connections.forEach((channel) -> {
			CallHandler handler = channel.pipeline().get(CallHandler.class);
			if (handler == null || !handler.isHandlingControlCall()) {
				channel.close();
			}
		});
	}

	/**
	 * Closes the server and its connections.
	 */
	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		this.connections.close();
		if (!this.loop.isShuttingDown()) {
			this.loop.execute(this.standin::close);
		}
	}

	Standin standin() {
		return this.standin;
	}

	void addFrozenHandler(CallHandler handler) {
		this.frozenHandlers.add(handler);
	}

	void removeFrozenHandler(CallHandler handler) {
		this.frozenHandlers.remove(handler);
	}

}
