package org.baobabknot.relay;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.baobabknot.protocol.generated.Values;
import org.baobabknot.protocol.generated.ValuesPull;
import org.baobabknot.provider.Snapshot;
import org.baobabknot.provider.StoreClient;

/**
 * Tells other processes what this one knows of the operators' values. A question waits
 * for news; each value is compressed once. Runs on one event loop.
 */
public final class ValueServer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_REQUEST_BYTES = 64 << 10;

	private static final int IDLE_TIMEOUT_SECONDS = 30;

	/** Questions that wait at the same time; further ones are answered at once. */
	private static final int MAX_WAITING_PULLS = 1_000;

	/** Age by which an answer must be younger to be given before there is news. */
	private static final long MIN_AGE_IMPROVEMENT_MS = 300;

	private final EventLoop loop;

	private final BiFunction<String, Map<String, Long>, Snapshot> snapshotLookup;

	private final Set<PendingPull> waitingPulls = new LinkedHashSet<>();

	private final Map<String, CompressedValue> compressed = new HashMap<>();

	/**
	 * Creates a server that is not bound.
	 * @param loop event loop
	 * @param snapshotLookup supplies what is known under a prefix beyond some revisions
	 */
	public ValueServer(EventLoop loop, BiFunction<String, Map<String, Long>, Snapshot> snapshotLookup) {
		this.loop = loop;
		this.snapshotLookup = snapshotLookup;
	}

	/**
	 * Starts to listen.
	 * @param host local address
	 * @param port local port
	 * @return completed when the port is bound
	 */
	public CompletableFuture<Void> bind(String host, int port) {
		CompletableFuture<Void> bound = new CompletableFuture<>();
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS), new HttpServerCodec(),
								new HttpObjectAggregator(MAX_REQUEST_BYTES), new PullHandler());
				}
			})
			.bind(host, port)
			.addListener((done) -> {
				if (done.isSuccess()) {
					bound.complete(null);
				}
				else {
					bound.completeExceptionally(done.cause());
				}
			});
		return bound;
	}

	/**
	 * Answers all questions that wait, because something has changed or was confirmed.
	 */
	public void respondToWaiting() {
		List<PendingPull> pulls = List.copyOf(this.waitingPulls);
		this.waitingPulls.clear();
		pulls.forEach((pull) -> pull.respond(snapshot(pull)));
	}

	private Snapshot snapshot(PendingPull pull) {
		return this.snapshotLookup.apply(pull.request.getPrefix(), pull.request.getKnownMap());
	}

	private void handlePull(PendingPull pull) {
		Snapshot snapshot = snapshot(pull);
		boolean fresher = snapshot.connected() && snapshot.ageMs() + MIN_AGE_IMPROVEMENT_MS < pull.request.getAgeMs();
		// Who can't reach the store has no news to wait for: the process turns elsewhere.
		boolean disconnected = !snapshot.connected();
		boolean respondNow = snapshot.revision() > 0 && (!snapshot.changed().isEmpty() || fresher || disconnected);
		if (respondNow || pull.request.getWaitMs() == 0 || this.waitingPulls.size() >= MAX_WAITING_PULLS) {
			pull.respond(snapshot);
			return;
		}
		this.waitingPulls.add(pull);
		this.loop.schedule(() -> {
			if (this.waitingPulls.remove(pull)) {
				pull.respond(snapshot(pull));
			}
		}, pull.request.getWaitMs(), TimeUnit.MILLISECONDS);
	}

	private ByteString compressed(StoreClient.Item item, byte[] value) {
		CompressedValue cached = this.compressed.get(item.key());
		if (cached == null || cached.revision() != item.revision()) {
			cached = new CompressedValue(item.revision(), ByteString.copyFrom(ValueMessages.deflate(value)));
			this.compressed.put(item.key(), cached);
		}
		return cached.bytes();
	}

	private static void write(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		context.writeAndFlush(response);
	}

	/** A value that is compressed. */
	private record CompressedValue(long revision, ByteString bytes) {
	}

	/** A question that was not answered yet. */
	private final class PendingPull {

		private final ChannelHandlerContext context;

		private final ValuesPull request;

		PendingPull(ChannelHandlerContext context, ValuesPull request) {
			this.context = context;
			this.request = request;
		}

		void respond(Snapshot snapshot) {
			Values.Builder values = Values.newBuilder()
				.setRevision(snapshot.revision())
				.setAgeMs(snapshot.ageMs())
				.setConnected(snapshot.connected())
				.putAllPresent(snapshot.present());
			for (StoreClient.Item item : snapshot.changed()) {
				byte[] value = item.value();
				if (value != null) {
					values.addChanged(ValueMessages.toMessage(item, compressed(item, value)));
				}
			}
			write(this.context, HttpResponseStatus.OK, values.build().toByteArray());
		}

	}

	/**
	 * Decodes the questions of one connection.
	 */
	private final class PullHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
			if (!message.uri().equals(ValueMessages.PATH)) {
				write(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
				return;
			}
			try {
				handlePull(new PendingPull(context, ValuesPull.parseFrom(ByteBufUtil.getBytes(message.content()))));
			}
			catch (InvalidProtocolBufferException ex) {
				logger.atInfo().log("malformed question of %s: %s", context.channel().remoteAddress(), ex.getMessage());
				write(context, HttpResponseStatus.BAD_REQUEST, new byte[0]);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			ValueServer.this.waitingPulls.removeIf((question) -> question.context == context);
			context.fireChannelInactive();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
