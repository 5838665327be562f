package org.baobabknot.loader;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringEncoder;
import org.baobabknot.distribution.FetchFailure;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.httpclient.HttpResult;
import org.baobabknot.link.BulkWindow;
import org.baobabknot.provider.EngineClient;
import org.baobabknot.provider.OriginClient;
import org.baobabknot.settings.FleetSettings;
import org.jspecify.annotations.Nullable;

/**
 * Chunks over HTTP: from the origin and other loaders, to the engine.
 */
final class HttpSources implements VersionFetch.Sources {

	private static final Duration PEER_TIMEOUT = Duration.ofMillis(2_200);

	/** All transfers that may be on their way, and two questions. */
	private static final int MOST_CONNECTIONS = BulkWindow.MAX_TRANSFERS + 2;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int NOT_SUPPLIED = 424;

	private static final int SLOW = 503;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final EngineClient engine;

	private final ChunkServer server;

	private final LoadSender link;

	private final Supplier<@Nullable OriginClient> origin;

	private final Map<String, HttpClient> peers = new HashMap<>();

	HttpSources(FleetSettings settings, EventLoop loop, EngineClient engine, ChunkServer server, LoadSender link,
			Supplier<@Nullable OriginClient> origin) {
		this.settings = settings;
		this.loop = loop;
		this.engine = engine;
		this.server = server;
		this.link = link;
		this.origin = origin;
	}

	@Override
	public CompletableFuture<Optional<byte[]>> origin(String model, long version, int index) {
		OriginClient client = this.origin.get();
		return (client != null) ? client.chunk(model, version, index)
				: CompletableFuture.completedFuture(Optional.empty());
	}

	@Override
	public CompletableFuture<VersionFetch.Offer> held(String host, String model, long version, List<Integer> indices) {
		return peer(host).send(call(ChunkServer.HELD, model, version, indices), new byte[0]).thenApply((result) -> {
			if (result instanceof HttpResult.Answered answered && answered.head().status() == OK) {
				return new VersionFetch.Offer(
						ChunkNumbers.decode(answered.head().header(ChunkServer.NUMBERS).orElse("")),
						FetchFailure.NOT_HELD);
			}
			return new VersionFetch.Offer(List.of(), failure(result));
		});
	}

	@Override
	public CompletableFuture<VersionFetch.PeerAnswer> chunk(String host, String model, long version, int index) {
		long asked = System.nanoTime();
		return peer(host).send(call(ChunkServer.CHUNK, model, version, List.of(index)), new byte[0])
			.thenApply((result) -> {
				if (!(result instanceof HttpResult.Answered answered) || answered.head().status() != OK) {
					return VersionFetch.PeerAnswer.missing(failure(result));
				}
				double tookMs = (System.nanoTime() - asked) / (double) TimeUnit.MILLISECONDS.toNanos(1);
				int delayMs = ChunkNumbers.number(answered.head().header(ChunkServer.DELAY_MS).orElse("0"));
				return new VersionFetch.PeerAnswer(answered.body(), FetchFailure.NOT_HELD,
						Math.max(0, tookMs - delayMs));
			});
	}

	@Override
	public double linkDelayMs() {
		return this.link.delayMs();
	}

	private HttpCall call(String path, String model, long version, List<Integer> indices) {
		QueryStringEncoder query = new QueryStringEncoder(path);
		query.addParam("model", model);
		query.addParam("version", Long.toString(version));
		query.addParam("chunks", ChunkNumbers.encode(indices));
		query.addParam("domain", this.settings.domain());
		return HttpCall.of("GET", query.toString(), PEER_TIMEOUT);
	}

	private static FetchFailure failure(HttpResult result) {
		if (!(result instanceof HttpResult.Answered answered)) {
			return FetchFailure.UNREACHABLE;
		}
		return switch (answered.head().status()) {
			case NOT_FOUND -> FetchFailure.NOT_HELD;
			case NOT_SUPPLIED -> FetchFailure.NOT_SUPPLIED;
			case SLOW -> FetchFailure.SLOW;
			default -> FetchFailure.UNREACHABLE;
		};
	}

	@Override
	public CompletableFuture<Boolean> stage(String model, int index, byte[] bytes) {
		return this.engine.stageChunk(model, index, bytes);
	}

	@Override
	public void stored(VersionFetch fetch, int index) {
		this.server.arrived(fetch.model(), fetch.version(), index);
	}

	private HttpClient peer(String host) {
		return this.peers.computeIfAbsent(host,
				(absent) -> new HttpClient(
						this.loop, host, this.settings.peerPort(), new HttpClientSettings(MOST_CONNECTIONS,
								Duration.ofMillis(500), Duration.ofSeconds(3), 8 << 10, 4 << 20, false),
						ConnectionHook.NONE));
	}

}
