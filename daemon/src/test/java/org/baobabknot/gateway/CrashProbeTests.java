package org.baobabknot.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link CrashProbe} against sockets on loopback.
 */
class CrashProbeTests {

	private static final int TIMEOUT_SECONDS = 10;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final ServerSocket server;

	private final CrashProbe probe;

	CrashProbeTests() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
		this.probe = new CrashProbe(new HttpClient(this.loop, "127.0.0.1", this.server.getLocalPort(),
				HttpClientSettings.defaults(), ConnectionHook.NONE));
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private CompletableFuture<Boolean> startProbe() throws Exception {
		return this.loop.submit(this.probe::hasCrashed).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	@Nested
	class ProbesThatBeganBeforeACrash {

		/** A probe that was in progress counted for a crash that came after it. */
		@Test
		void sayNothingAboutIt() throws Exception {
			CompletableFuture<Boolean> before = startProbe();
			try (Socket accepted = CrashProbeTests.this.server.accept()) {
				assertThat(accepted.isConnected(), is(true));
				CrashProbeTests.this.server.close();
				CompletableFuture<Boolean> after = startProbe();
				assertThat(before.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(false));
				assertThat(after.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
			}
		}

	}

}
