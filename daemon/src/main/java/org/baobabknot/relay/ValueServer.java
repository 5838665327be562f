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
import org.baobabknot.provider.ItemSnapshot;
import org.baobabknot.provider.StoreClient;

/**
 * Tells other processes what this one knows of the operators' values. A question waits
 * for news; each value is compressed once. Runs on one event loop.
 */
public final class ValueServer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int LARGEST_REQUEST = 64 << 10;

	private static final int IDLE_SECONDS = 30;

	/** Questions that wait at the same time; further ones are answered at once. */
	private static final int MOST_WAITING = 1_000;

	/** Age by which an answer must be younger to be given before there is news. */
	private static final long YOUNGER_MS = 300;

	private final EventLoop loop;

	private final BiFunction<String, Map<String, Long>, ItemSnapshot> known;

	private final Set<Question> waiting = new LinkedHashSet<>();

	private final Map<String, Deflated> deflated = new HashMap<>();

	/**
	 * Creates a server that is not bound.
	 * @param loop event loop
	 * @param known supplies what is known under a prefix beyond some revisions
	 */
	public ValueServer(EventLoop loop, BiFunction<String, Map<String, Long>, ItemSnapshot> known) {
		this.loop = loop;
		this.known = known;
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
						.addLast(new ReadTimeoutHandler(IDLE_SECONDS), new HttpServerCodec(),
								new HttpObjectAggregator(LARGEST_REQUEST), new Questions());
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
	public void news() {
		List<Question> questions = List.copyOf(this.waiting);
		this.waiting.clear();
		questions.forEach((question) -> question.answer(snapshot(question)));
	}

	private ItemSnapshot snapshot(Question question) {
		return this.known.apply(question.pull.getPrefix(), question.pull.getKnownMap());
	}

	private void asked(Question question) {
		ItemSnapshot now = snapshot(question);
		boolean younger = now.connected() && now.ageMs() + YOUNGER_MS < question.pull.getAgeMs();
		// Who can't reach the store has no news to wait for: the process turns elsewhere.
		boolean lost = !now.connected();
		boolean news = now.revision() > 0 && (!now.changedItems().isEmpty() || younger || lost);
		if (news || question.pull.getWaitMs() == 0 || this.waiting.size() >= MOST_WAITING) {
			question.answer(now);
			return;
		}
		this.waiting.add(question);
		this.loop.schedule(() -> {
			if (this.waiting.remove(question)) {
				question.answer(snapshot(question));
			}
		}, question.pull.getWaitMs(), TimeUnit.MILLISECONDS);
	}

	private ByteString deflated(StoreClient.Item item, byte[] value) {
		Deflated before = this.deflated.get(item.key());
		if (before == null || before.revision() != item.revision()) {
			before = new Deflated(item.revision(), ByteString.copyFrom(ValueMessages.deflate(value)));
			this.deflated.put(item.key(), before);
		}
		return before.bytes();
	}

	private static void write(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		context.writeAndFlush(response);
	}

	/** A value that is compressed. */
	private record Deflated(long revision, ByteString bytes) {
	}

	/** A question that was not answered yet. */
	private final class Question {

		private final ChannelHandlerContext context;

		private final ValuesPull pull;

		Question(ChannelHandlerContext context, ValuesPull pull) {
			this.context = context;
			this.pull = pull;
		}

		void answer(ItemSnapshot now) {
			Values.Builder values = Values.newBuilder()
				.setRevision(now.revision())
				.setAgeMs(now.ageMs())
				.setConnected(now.connected())
				.putAllPresent(now.presentRevisions());
			for (StoreClient.Item item : now.changedItems()) {
				byte[] value = item.value();
				if (value != null) {
					values.addChanged(ValueMessages.value(item, deflated(item, value)));
				}
			}
			write(this.context, HttpResponseStatus.OK, values.build().toByteArray());
		}

	}

	/**
	 * Decodes the questions of one connection.
	 */
	private final class Questions extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
			if (!message.uri().equals(ValueMessages.PATH)) {
				write(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
				return;
			}
			try {
				asked(new Question(context, ValuesPull.parseFrom(ByteBufUtil.getBytes(message.content()))));
			}
			catch (InvalidProtocolBufferException ex) {
				logger.atInfo().log("malformed question of %s: %s", context.channel().remoteAddress(), ex.getMessage());
				write(context, HttpResponseStatus.BAD_REQUEST, new byte[0]);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			ValueServer.this.waiting.removeIf((question) -> question.context == context);
			context.fireChannelInactive();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
