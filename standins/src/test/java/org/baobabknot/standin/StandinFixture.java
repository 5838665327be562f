package org.baobabknot.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;

/**
 * Starts stand-ins and clients for one test and closes them afterwards.
 */
final class StandinFixture implements AutoCloseable {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final List<AutoCloseable> resources = new ArrayList<>();

	EventLoopGroup group() {
		return this.group;
	}

	StandinServer start(Standin standin) {
		StandinServer server = StandinServer.start(this.group, 0, standin);
		this.resources.add(server);
		return server;
	}

	HttpClient client(int port) {
		HttpClient client = new HttpClient(this.group, "127.0.0.1", port, HttpClientSettings.defaults(),
				ConnectionHook.NONE);
		this.resources.add(0, client);
		return client;
	}

	<T extends AutoCloseable> T closeAfterTest(T closeable) {
		this.resources.add(0, closeable);
		return closeable;
	}

	static ObjectNode fault(String kind) {
		return JsonBody.object().put("kind", kind);
	}

	@Override
	public void close() throws Exception {
		for (AutoCloseable closeable : this.resources) {
			closeable.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
