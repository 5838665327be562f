package org.baobabknot.loader;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
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
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.baobabknot.distribution.FetchFailure;
import org.baobabknot.distribution.Pacer;
import org.baobabknot.link.BulkWindow;

/**
 * Serves chunks of weights to other loaders. A question names the chunks any of which are
 * wanted, waits for a while if none of them has arrived yet, and is answered with their
 * numbers. Chunks are sent one after the other below the rate of the machine's link, and
 * no faster than probes show that they leave it, so that the events of the engine on the
 * same link don't queue behind them; those for other failure domains go first, because a
 * whole domain waits for them.
 */
final class ChunkServer {

	/** Path of the question which chunks are held. */
	static final String HELD = "/held";

	/** Path of a chunk. */
	static final String CHUNK = "/chunk";

	/** Header with the numbers of the chunks that are held. */
	static final String NUMBERS = "Chunk-Numbers";

	/** Header with the time for which an answer was held back here, in ms. */
	static final String DELAY_MS = "Chunk-Delay-Ms";

	/** Longest wait of a question for chunks that have not arrived. */
	static final long WAIT_MS = 1_200;

	private static final int IDLE_SECONDS = 10;

	private static final int LARGEST_REQUEST = 4 << 10;

	/** Time between two looks whether chunks have left the link. */
	private static final long LOOK_MS = 20;

	/** Time after which a chunk is taken for sent although no probe shows it. */
	private static final long CONFIRM_TIMEOUT_MS = 1_000;

	/**
	 * Delay of the link, in ms, above which others get chunks elsewhere. Eight chunks of
	 * 24 kB are 300 ms of a link of 5 Mbit/s.
	 */
	private static final double SLOW_LINK_MS = 400;

	/** Part of the link for chunks. */
	private static final double BULK_SHARE = 0.9;

	private final EventLoopGroup group;

	private final EventLoop loop;

	private final BiFunction<String, Long, Optional<VersionFetch>> versions;

	private final List<Request> waiting = new ArrayList<>();

	private final ArrayDeque<Request> toOtherDomains = new ArrayDeque<>();

	private final ArrayDeque<Request> toOwnDomain = new ArrayDeque<>();

	private final long linkBytesPerSecond;

	private final String domain;

	private final LoadSender link;

	private final BulkWindow downloads;

	private final BulkWindow window = new BulkWindow();

	private final ArrayDeque<Long> unconfirmed = new ArrayDeque<>();

	private Pacer pacer;

	private int pacedBytes;

	private boolean sending;

	/**
	 * Creates a server that does not listen yet.
	 * @param group its event loop
	 * @param domain failure domain of this process
	 * @param linkBytesPerSecond rate of the machine's link
	 * @param link knows the delay of the link
	 * @param downloads transfers to this machine
	 * @param versions finds a version of a model
	 */
	ChunkServer(EventLoopGroup group, String domain, long linkBytesPerSecond, LoadSender link, BulkWindow downloads,
			BiFunction<String, Long, Optional<VersionFetch>> versions) {
		this.group = group;
		this.loop = group.next();
		this.domain = domain;
		this.linkBytesPerSecond = linkBytesPerSecond;
		this.link = link;
		this.downloads = downloads;
		this.versions = versions;
		this.pacer = new Pacer(linkBytesPerSecond, BULK_SHARE, 1, System.nanoTime());
	}

	CompletableFuture<Void> bind(String host, int port) {
		CompletableFuture<Void> bound = new CompletableFuture<>();
		new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new ReadTimeoutHandler(IDLE_SECONDS), new HttpServerCodec(),
								new HttpObjectAggregator(LARGEST_REQUEST), new Requests());
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
	 * Tells whether chunks are being sent.
	 * @return whether the delay of the link matters now
	 */
	boolean sending() {
		return this.sending;
	}

	/**
	 * A chunk has arrived: answers the questions that wait for it.
	 * @param model the model
	 * @param version the version
	 * @param index number of the chunk
	 */
	void arrived(String model, long version, int index) {
		for (Request request : List.copyOf(this.waiting)) {
			if (request.version() == version && request.model().equals(model) && request.chunks().contains(index)) {
				this.waiting.remove(request);
				offer(request, List.of(index));
			}
		}
	}

	/**
	 * Tells those that wait for chunks to get them elsewhere while the link is filled.
	 */
	void turnAwayWhenSlow() {
		if (slow()) {
			this.waiting.forEach(ChunkServer::turnAway);
			this.waiting.clear();
			this.toOtherDomains.forEach(ChunkServer::turnAway);
			this.toOtherDomains.clear();
			this.toOwnDomain.forEach(ChunkServer::turnAway);
			this.toOwnDomain.clear();
		}
	}

	private boolean slow() {
		long now = System.nanoTime();
		return this.window.isSlow(now) || this.downloads.isSlow(now) || this.link.delayMs() > SLOW_LINK_MS;
	}

	private static void turnAway(Request request) {
		request.context().writeAndFlush(response(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]));
	}

	private void question(Request request) {
		if (slow()) {
			turnAway(request);
			return;
		}
		List<Integer> held = held(request);
		if (!held.isEmpty()) {
			offer(request, held);
			return;
		}
		this.waiting.add(request);
		this.loop.schedule(() -> {
			if (this.waiting.remove(request)) {
				missing(request);
			}
		}, WAIT_MS, TimeUnit.MILLISECONDS);
	}

	private List<Integer> held(Request request) {
		return this.versions.apply(request.model(), request.version())
			.map(VersionFetch::chunks)
			.map((chunks) -> request.chunks().stream().filter(chunks::holds).toList())
			.orElse(List.of());
	}

	private static void offer(Request request, List<Integer> held) {
		FullHttpResponse response = response(HttpResponseStatus.OK, new byte[0]);
		response.headers().set(NUMBERS, ChunkNumbers.encode(held));
		request.context().writeAndFlush(response);
	}

	private void missing(Request request) {
		boolean supplied = this.versions.apply(request.model(), request.version())
			.map((fetch) -> fetch.missing() != FetchFailure.NOT_SUPPLIED)
			.orElse(true);
		request.context()
			.writeAndFlush(response((supplied) ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.FAILED_DEPENDENCY,
					new byte[0]));
	}

	private void enqueue(Request request) {
		if (slow()) {
			turnAway(request);
			return;
		}
		((request.otherDomain()) ? this.toOtherDomains : this.toOwnDomain).add(request);
		if (!this.sending) {
			send();
		}
	}

	private void send() {
		confirm();
		Request next = (this.toOtherDomains.isEmpty()) ? this.toOwnDomain.peek() : this.toOtherDomains.peek();
		this.sending = next != null;
		if (next == null) {
			return;
		}
		List<Integer> found = held(next);
		if (found.isEmpty() || !next.context().channel().isActive()) {
			remove(next);
			missing(next);
			this.loop.execute(this::send);
			return;
		}
		byte[] bytes = this.versions.apply(next.model(), next.version()).orElseThrow().chunks().chunk(found.get(0));
		if (!this.window.tryStart(this.link.delayMs(), System.nanoTime())) {
			this.loop.schedule(this::send, LOOK_MS, TimeUnit.MILLISECONDS);
			return;
		}
		long wait = pause(bytes.length);
		if (wait > 0) {
			this.window.recordRefusal();
			this.loop.schedule(this::send, wait, TimeUnit.NANOSECONDS);
			return;
		}
		this.unconfirmed.add(System.nanoTime());
		remove(next);
		answer(next, bytes);
		this.loop.execute(this::send);
	}

	private void confirm() {
		long now = System.nanoTime();
		long confirmed = this.link.confirmedNanos();
		while (!this.unconfirmed.isEmpty()) {
			long sent = this.unconfirmed.element();
			if (sent < confirmed) {
				this.window.recordArrival(TimeUnit.NANOSECONDS.toMillis(now - sent), this.link.delayMs(), now);
			}
			else if (now - sent > TimeUnit.MILLISECONDS.toNanos(CONFIRM_TIMEOUT_MS)) {
				this.window.recordLoss(now);
			}
			else {
				return;
			}
			this.unconfirmed.remove();
		}
	}

	private void remove(Request request) {
		((request.otherDomain()) ? this.toOtherDomains : this.toOwnDomain).remove(request);
	}

	private long pause(int bytes) {
		if (bytes > this.pacedBytes) {
			this.pacedBytes = bytes;
			this.pacer = new Pacer(this.linkBytesPerSecond, BULK_SHARE, bytes, System.nanoTime());
		}
		return this.pacer.tryTake(bytes, System.nanoTime());
	}

	private static void answer(Request request, byte[] body) {
		FullHttpResponse response = response(HttpResponseStatus.OK, body);
		response.headers().set(DELAY_MS, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.arrivedNanos()));
		request.context().writeAndFlush(response);
	}

	private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		return response;
	}

	/** A question for some chunks, or a request for the bytes of one. */
	private record Request(ChannelHandlerContext context, String model, long version, List<Integer> chunks,
			boolean otherDomain, long arrivedNanos) {
	}

	/**
	 * Decodes the requests of one connection.
	 */
	private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
			QueryStringDecoder query = new QueryStringDecoder(message.uri());
			Request request = new Request(context, parameter(query, "model"),
					ChunkNumbers.number(parameter(query, "version")), ChunkNumbers.decode(parameter(query, "chunks")),
					!parameter(query, "domain").equals(ChunkServer.this.domain), System.nanoTime());
			if (query.path().equals(HELD)) {
				question(request);
			}
			else {
				enqueue(request);
			}
		}

		private String parameter(QueryStringDecoder query, String name) {
			return query.parameters().getOrDefault(name, List.of("")).get(0);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
