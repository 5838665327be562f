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
 * HTTP server that sends chunks of weights to other loaders. A query lists wanted chunks
 * and returns the numbers of those that are held; it is held open for up to
 * {@link #MAX_WAIT_MS} if there are none yet. Chunks are sent one at a time, below the
 * rate of the machine's link and no faster than probes confirm that they have left it, so
 * that the events of the engine on the same link don't queue behind them. Loaders of
 * other failure domains are served first, because their whole domain waits for the chunk.
 */
final class HttpChunkServer {

	/** Path of the query for the numbers of held chunks. */
	static final String HELD_PATH = "/held";

	/** Path of the request for the bytes of a chunk. */
	static final String CHUNK_PATH = "/chunk";

	/** Response header with the numbers of the held chunks, as a bit set. */
	static final String CHUNK_NUMBERS_HEADER = "Chunk-Numbers";

	/**
	 * Response header with the time between the receipt of a request and its response, in
	 * ms.
	 */
	static final String CHUNK_DELAY_HEADER = "Chunk-Delay-Ms";

	/** Maximum time for which a query waits for a chunk that has not arrived yet. */
	static final long MAX_WAIT_MS = 1_200;

	private static final int IDLE_TIMEOUT_SECONDS = 10;

	private static final int MAX_REQUEST_BYTES = 4 << 10;

	/** Interval of the checks whether sent chunks have left the link. */
	private static final long WINDOW_POLL_MS = 20;

	/**
	 * Time after which a sent chunk is no longer tracked although no probe confirmed it.
	 */
	private static final long CONFIRM_TIMEOUT_MS = 1_000;

	/**
	 * Link delay above which other loaders are refused, so that they use another source.
	 * Eight chunks of 24 kB take 300 ms on a link of 5 Mbit/s.
	 */
	private static final double MAX_LINK_DELAY_MS = 400;

	/** Maximum share of the link's rate that chunks use. */
	private static final double MAX_BULK_RATIO = 0.9;

	private final EventLoopGroup group;

	private final EventLoop loop;

	private final BiFunction<String, Long, Optional<VersionFetch>> fetchLookup;

	private final List<Request> waitingQueries = new ArrayList<>();

	private final ArrayDeque<Request> otherDomainQueue = new ArrayDeque<>();

	private final ArrayDeque<Request> sameDomainQueue = new ArrayDeque<>();

	private final long linkBytesPerSecond;

	private final String domain;

	private final LoadReporter loadReporter;

	private final BulkWindow downloadWindow;

	private final BulkWindow uploadWindow = new BulkWindow();

	private final ArrayDeque<Long> unconfirmedSentNanos = new ArrayDeque<>();

	private Pacer pacer;

	private int largestChunkBytes;

	private boolean uploadInProgress;

	/**
	 * Creates a server that is not bound.
	 * @param group event loop group of which one loop is used
	 * @param domain failure domain of this process
	 * @param linkBytesPerSecond rate of the machine's link
	 * @param loadReporter measures the link delay
	 * @param downloadWindow window of the transfers to this machine
	 * @param fetchLookup returns the fetch of a version by model and version
	 */
	HttpChunkServer(EventLoopGroup group, String domain, long linkBytesPerSecond, LoadReporter loadReporter,
			BulkWindow downloadWindow, BiFunction<String, Long, Optional<VersionFetch>> fetchLookup) {
		this.group = group;
		this.loop = group.next();
		this.domain = domain;
		this.linkBytesPerSecond = linkBytesPerSecond;
		this.loadReporter = loadReporter;
		this.downloadWindow = downloadWindow;
		this.fetchLookup = fetchLookup;
		this.pacer = new Pacer(linkBytesPerSecond, MAX_BULK_RATIO, 1, System.nanoTime());
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
						.addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS), new HttpServerCodec(),
								new HttpObjectAggregator(MAX_REQUEST_BYTES), new RequestHandler());
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
	 * Returns whether chunks are queued or being sent, so that the link delay has to be
	 * measured.
	 * @return true while there are requests for chunks
	 */
	boolean uploadInProgress() {
		return this.uploadInProgress;
	}

	/**
	 * Responds to the queries that wait for a chunk that was stored.
	 * @param model the model
	 * @param version the version
	 * @param index number of the chunk
	 */
	void onChunkStored(String model, long version, int index) {
		for (Request request : List.copyOf(this.waitingQueries)) {
			if (request.version() == version && request.model().equals(model)
					&& request.chunkNumbers().contains(index)) {
				this.waitingQueries.remove(request);
				respondHeld(request, List.of(index));
			}
		}
	}

	/**
	 * Refuses all waiting queries and queued requests if the link is slow, so that other
	 * loaders use another source.
	 */
	void refuseWhenLinkSlow() {
		if (linkSlow()) {
			this.waitingQueries.forEach(HttpChunkServer::refuse);
			this.waitingQueries.clear();
			this.otherDomainQueue.forEach(HttpChunkServer::refuse);
			this.otherDomainQueue.clear();
			this.sameDomainQueue.forEach(HttpChunkServer::refuse);
			this.sameDomainQueue.clear();
		}
	}

	private boolean linkSlow() {
		long now = System.nanoTime();
		return this.uploadWindow.isSlow(now) || this.downloadWindow.isSlow(now)
				|| this.loadReporter.linkDelayMs() > MAX_LINK_DELAY_MS;
	}

	private static void refuse(Request request) {
		request.context().writeAndFlush(response(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]));
	}

	private void handleQuery(Request request) {
		if (linkSlow()) {
			refuse(request);
			return;
		}
		List<Integer> held = heldChunks(request);
		if (!held.isEmpty()) {
			respondHeld(request, held);
			return;
		}
		this.waitingQueries.add(request);
		this.loop.schedule(() -> {
			if (this.waitingQueries.remove(request)) {
				respondMissing(request);
			}
		}, MAX_WAIT_MS, TimeUnit.MILLISECONDS);
	}

	private List<Integer> heldChunks(Request request) {
		return this.fetchLookup.apply(request.model(), request.version())
			.map(VersionFetch::chunks)
			.map((chunks) -> request.chunkNumbers().stream().filter(chunks::holds).toList())
			.orElse(List.of());
	}

	private static void respondHeld(Request request, List<Integer> held) {
		FullHttpResponse response = response(HttpResponseStatus.OK, new byte[0]);
		response.headers().set(CHUNK_NUMBERS_HEADER, ChunkNumbers.encode(held));
		request.context().writeAndFlush(response);
	}

	private void respondMissing(Request request) {
		boolean supplied = this.fetchLookup.apply(request.model(), request.version())
			.map((fetch) -> fetch.missingReason() != FetchFailure.NOT_SUPPLIED)
			.orElse(true);
		request.context()
			.writeAndFlush(response((supplied) ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.FAILED_DEPENDENCY,
					new byte[0]));
	}

	private void enqueue(Request request) {
		if (linkSlow()) {
			refuse(request);
			return;
		}
		((request.fromOtherDomain()) ? this.otherDomainQueue : this.sameDomainQueue).add(request);
		if (!this.uploadInProgress) {
			sendNext();
		}
	}

	private void sendNext() {
		confirmSent();
		Request next = (this.otherDomainQueue.isEmpty()) ? this.sameDomainQueue.peek() : this.otherDomainQueue.peek();
		this.uploadInProgress = next != null;
		if (next == null) {
			return;
		}
		List<Integer> held = heldChunks(next);
		if (held.isEmpty() || !next.context().channel().isActive()) {
			dequeue(next);
			respondMissing(next);
			this.loop.execute(this::sendNext);
			return;
		}
		byte[] bytes = this.fetchLookup.apply(next.model(), next.version()).orElseThrow().chunks().chunk(held.get(0));
		if (!this.uploadWindow.tryStart(this.loadReporter.linkDelayMs(), System.nanoTime())) {
			this.loop.schedule(this::sendNext, WINDOW_POLL_MS, TimeUnit.MILLISECONDS);
			return;
		}
		long wait = pacingDelayNanos(bytes.length);
		if (wait > 0) {
			this.uploadWindow.recordRefusal();
			this.loop.schedule(this::sendNext, wait, TimeUnit.NANOSECONDS);
			return;
		}
		this.unconfirmedSentNanos.add(System.nanoTime());
		dequeue(next);
		respondChunk(next, bytes);
		this.loop.execute(this::sendNext);
	}

	private void confirmSent() {
		long now = System.nanoTime();
		long confirmed = this.loadReporter.confirmedNanos();
		while (!this.unconfirmedSentNanos.isEmpty()) {
			long sent = this.unconfirmedSentNanos.element();
			if (sent < confirmed) {
				this.uploadWindow.recordArrival(TimeUnit.NANOSECONDS.toMillis(now - sent),
						this.loadReporter.linkDelayMs(), now);
			}
			else if (now - sent > TimeUnit.MILLISECONDS.toNanos(CONFIRM_TIMEOUT_MS)) {
				this.uploadWindow.recordLoss(now);
			}
			else {
				return;
			}
			this.unconfirmedSentNanos.remove();
		}
	}

	private void dequeue(Request request) {
		((request.fromOtherDomain()) ? this.otherDomainQueue : this.sameDomainQueue).remove(request);
	}

	private long pacingDelayNanos(int bytes) {
		if (bytes > this.largestChunkBytes) {
			this.largestChunkBytes = bytes;
			this.pacer = new Pacer(this.linkBytesPerSecond, MAX_BULK_RATIO, bytes, System.nanoTime());
		}
		return this.pacer.tryTake(bytes, System.nanoTime());
	}

	private static void respondChunk(Request request, byte[] body) {
		FullHttpResponse response = response(HttpResponseStatus.OK, body);
		response.headers()
			.set(CHUNK_DELAY_HEADER, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.receivedNanos()));
		request.context().writeAndFlush(response);
	}

	private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		return response;
	}

	/** A query for held chunks, or a request for the bytes of one chunk. */
	private record Request(ChannelHandlerContext context, String model, long version, List<Integer> chunkNumbers,
			boolean fromOtherDomain, long receivedNanos) {
	}

	/**
	 * Parses the requests of one connection.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
			QueryStringDecoder query = new QueryStringDecoder(message.uri());
			Request request = new Request(context, parameter(query, "model"),
					ChunkNumbers.parseNumber(parameter(query, "version")),
					ChunkNumbers.decode(parameter(query, "chunks")),
					!parameter(query, "domain").equals(HttpChunkServer.this.domain), System.nanoTime());
			if (query.path().equals(HELD_PATH)) {
				handleQuery(request);
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
