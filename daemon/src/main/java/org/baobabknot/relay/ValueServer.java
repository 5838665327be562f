package org.baobabknot.relay;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.LongConsumer;

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
import org.baobabknot.mirror.KnownRevisions;
import org.baobabknot.mirror.StoreItem;
import org.baobabknot.protocol.generated.Values;
import org.baobabknot.protocol.generated.ValuesPull;
import org.baobabknot.provider.ItemSnapshot;

/**
 * HTTP server that sends the values that operators have stored to other processes. A
 * request (pull) is held open until a value changes or is confirmed. Each value is
 * compressed once. Confined to one event loop.
 */
public final class ValueServer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_REQUEST_BYTES = 64 << 10;

	private static final int IDLE_TIMEOUT_SECONDS = 30;

	/** Maximum number of waiting pulls; further ones get an immediate response. */
	private static final int MAX_WAITING_PULLS = 1_000;

	/**
	 * Minimum difference between the ages of the caller's values and the values here for
	 * an immediate response without changes.
	 */
	private static final long MIN_AGE_IMPROVEMENT_MS = 300;

	private final EventLoop loop;

	private final BiFunction<String, KnownRevisions, ItemSnapshot> snapshotLookup;

	private LongConsumer eraListener = (era) -> {
	};

	private final Set<PendingPull> waitingPulls = new LinkedHashSet<>();

	private final Map<String, CompressedValue> compressed = new HashMap<>();

	/**
	 * Creates a server that is not bound.
	 * @param loop event loop
	 * @param snapshotLookup returns the snapshot under a key prefix, with the values that
	 * are newer than the given revisions by key
	 */
	public ValueServer(EventLoop loop, BiFunction<String, KnownRevisions, ItemSnapshot> snapshotLookup) {
		this.loop = loop;
		this.snapshotLookup = snapshotLookup;
	}

	/**
	 * Sets a listener for the eras of the store that other processes know.
	 * @param listener receives an era, 0 if the process knows none
	 */
	public void onEra(LongConsumer listener) {
		this.eraListener = listener;
	}

	/**
	 * Binds the server.
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
	 * Responds to the waiting pulls of values that have changed or were confirmed.
	 * @param prefix prefix of the keys of these values
	 */
	public void respondToWaiting(String prefix) {
		List<PendingPull> pulls = this.waitingPulls.stream()
			.filter((pull) -> pull.request.getPrefix().startsWith(prefix))
			.toList();
		pulls.forEach((pull) -> {
			this.waitingPulls.remove(pull);
			pull.respond(snapshot(pull));
		});
	}

	private ItemSnapshot snapshot(PendingPull pull) {
		return this.snapshotLookup.apply(pull.request.getPrefix(),
				new KnownRevisions(pull.request.getEra(), pull.request.getKnownMap()));
	}

	private void handlePull(PendingPull pull) {
		this.eraListener.accept(pull.request.getEra());
		ItemSnapshot snapshot = snapshot(pull);
		boolean sameEra = pull.request.getEra() == 0 || pull.request.getEra() == snapshot.position().era();
		boolean fresher = snapshot.connected() && snapshot.ageMs() + MIN_AGE_IMPROVEMENT_MS < pull.request.getAgeMs();
		// Without the store there are no changes to wait for. An immediate response lets
		// the caller use another source.
		boolean disconnected = !snapshot.connected();
		boolean changed = !sameEra || !snapshot.changedItems().isEmpty()
				|| lacksKnownItem(snapshot, pull.request.getKnownMap());
		boolean respondNow = snapshot.position().isKnown() && (changed || fresher || disconnected);
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

	// An item that the caller has and that is newer than the values here was created
	// since, not removed. One at revision 0 is kept by the caller alone.
	private static boolean lacksKnownItem(ItemSnapshot snapshot, Map<String, Long> known) {
		return known.entrySet()
			.stream()
			.anyMatch((item) -> item.getValue() > 0 && item.getValue() <= snapshot.position().revision()
					&& !snapshot.presentRevisions().containsKey(item.getKey()));
	}

	private ByteString compressed(StoreItem item, byte[] value) {
		CompressedValue cached = this.compressed.get(item.key());
		if (cached == null || cached.value() != value) {
			cached = new CompressedValue(value, ByteString.copyFrom(ValueMessages.deflate(value)));
			this.compressed.put(item.key(), cached);
		}
		return cached.bytes();
	}

	private void discardRemoved(String prefix, ItemSnapshot snapshot) {
		this.compressed.keySet()
			.removeIf((key) -> key.startsWith(prefix) && !snapshot.presentRevisions().containsKey(key));
	}

	private static void write(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		context.writeAndFlush(response);
	}

	/** A value and its compressed bytes. */
	@SuppressWarnings("ArrayRecordComponent")
	private record CompressedValue(byte[] value, ByteString bytes) {
	}

	/** A request for values that has no response yet. */
	private final class PendingPull {

		private final ChannelHandlerContext context;

		private final ValuesPull request;

		PendingPull(ChannelHandlerContext context, ValuesPull request) {
			this.context = context;
			this.request = request;
		}

		void respond(ItemSnapshot snapshot) {
			Values.Builder values = Values.newBuilder()
				.setEra(snapshot.position().era())
				.setRevision(snapshot.position().revision())
				.setAgeMs(snapshot.ageMs())
				.setConnected(snapshot.connected())
				.setReceiving(snapshot.receiving())
				.putAllPresent(snapshot.presentRevisions());
			discardRemoved(this.request.getPrefix(), snapshot);
			for (StoreItem item : snapshot.changedItems()) {
				byte[] value = item.value();
				if (value != null) {
					values.addChanged(ValueMessages.toMessage(item, compressed(item, value)));
				}
			}
			write(this.context, HttpResponseStatus.OK, values.build().toByteArray());
		}

	}

	/**
	 * Parses the requests of one connection.
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
				logger.atInfo()
					.log("malformed request from %s: %s", context.channel().remoteAddress(), ex.getMessage());
				write(context, HttpResponseStatus.BAD_REQUEST, new byte[0]);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			ValueServer.this.waitingPulls.removeIf((pull) -> pull.context == context);
			context.fireChannelInactive();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
