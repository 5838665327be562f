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
import org.baobabknot.provider.OriginClient;
import org.baobabknot.settings.FleetSettings;
import org.jspecify.annotations.Nullable;

/**
 * Transfers chunks over HTTP: from the origin and other loaders, and to the engine.
 */
final class HttpChunkTransport implements VersionFetch.ChunkTransport {

	private static final Duration PEER_TIMEOUT = Duration.ofMillis(2_200);

	/** Connections to one loader: a full window of transfers and two queries. */
	private static final int MAX_CONNECTIONS = BulkWindow.MAX_TRANSFERS + 2;

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_FAILED_DEPENDENCY = 424;

	private static final int STATUS_SERVICE_UNAVAILABLE = 503;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final StagingAreas stagingAreas;

	private final HttpChunkServer chunkServer;

	private final LoadReporter loadReporter;

	private final Supplier<@Nullable OriginClient> originSupplier;

	private final Map<String, HttpClient> peerClients = new HashMap<>();

	HttpChunkTransport(FleetSettings settings, EventLoop loop, StagingAreas stagingAreas, HttpChunkServer chunkServer,
			LoadReporter loadReporter, Supplier<@Nullable OriginClient> originSupplier) {
		this.settings = settings;
		this.loop = loop;
		this.stagingAreas = stagingAreas;
		this.chunkServer = chunkServer;
		this.loadReporter = loadReporter;
		this.originSupplier = originSupplier;
	}

	@Override
	public CompletableFuture<Optional<byte[]>> fetchFromOrigin(String model, long version, int index) {
		OriginClient client = this.originSupplier.get();
		return (client != null) ? client.chunk(model, version, index)
				: CompletableFuture.completedFuture(Optional.empty());
	}

	@Override
	public CompletableFuture<VersionFetch.HeldChunks> queryHeld(String host, String model, long version,
			List<Integer> indices) {
		return peerClient(host).send(call(HttpChunkServer.HELD_PATH, model, version, indices), new byte[0])
			.thenApply((result) -> {
				if (result instanceof HttpResult.Response answered && answered.head().status() == STATUS_OK) {
					return new VersionFetch.HeldChunks(
							ChunkNumbers
								.decode(answered.head().header(HttpChunkServer.CHUNK_NUMBERS_HEADER).orElse("")),
							FetchFailure.NOT_HELD);
				}
				return new VersionFetch.HeldChunks(List.of(), failure(result));
			});
	}

	@Override
	public CompletableFuture<VersionFetch.ChunkResponse> fetchFromPeer(String host, String model, long version,
			int index) {
		long startNanos = System.nanoTime();
		return peerClient(host).send(call(HttpChunkServer.CHUNK_PATH, model, version, List.of(index)), new byte[0])
			.thenApply((result) -> {
				if (!(result instanceof HttpResult.Response answered) || answered.head().status() != STATUS_OK) {
					return VersionFetch.ChunkResponse.missing(failure(result));
				}
				double roundTripMs = (System.nanoTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
				int serverDelayMs = ChunkNumbers
					.parseNumber(answered.head().header(HttpChunkServer.CHUNK_DELAY_HEADER).orElse("0"));
				return new VersionFetch.ChunkResponse(answered.body(), FetchFailure.NOT_HELD,
						Math.max(0, roundTripMs - serverDelayMs));
			});
	}

	@Override
	public double linkDelayMs() {
		return this.loadReporter.linkDelayMs();
	}

	private HttpCall call(String path, String model, long version, List<Integer> indices) {
		QueryStringEncoder query = new QueryStringEncoder(path);
		query.addParam("model", model);
		query.addParam("version", Long.toString(version));
		query.addParam("chunks", ChunkNumbers.encode(indices));
		query.addParam("domain", this.settings.failureDomain());
		return HttpCall.of("GET", query.toString(), PEER_TIMEOUT);
	}

	private static FetchFailure failure(HttpResult result) {
		if (!(result instanceof HttpResult.Response answered)) {
			return FetchFailure.UNREACHABLE;
		}
		return switch (answered.head().status()) {
			case STATUS_NOT_FOUND -> FetchFailure.NOT_HELD;
			case STATUS_FAILED_DEPENDENCY -> FetchFailure.NOT_SUPPLIED;
			case STATUS_SERVICE_UNAVAILABLE -> FetchFailure.SLOW;
			default -> FetchFailure.UNREACHABLE;
		};
	}

	@Override
	public CompletableFuture<Boolean> stage(String model, long version, int index, byte[] bytes) {
		return this.stagingAreas.of(model).write(version, index, bytes);
	}

	@Override
	public void onChunkStored(VersionFetch fetch, int index) {
		this.chunkServer.onChunkStored(fetch.model(), fetch.version(), index);
	}

	private HttpClient peerClient(String host) {
		return this.peerClients.computeIfAbsent(host,
				(absent) -> new HttpClient(
						this.loop, host, this.settings.peerPort(), new HttpClientSettings(MAX_CONNECTIONS,
								Duration.ofMillis(500), Duration.ofSeconds(3), 8 << 10, 4 << 20, false),
						ConnectionHook.NONE));
	}

}
