package org.baobabknot.standin.origin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.BodySink;
import org.baobabknot.standin.Call;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.LinkRate;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the origin. All chunk responses share one link rate. Faults:
 * {@code corrupt} and {@code truncate} damage chunks ({@code fraction}, {@code times}),
 * {@code stall} stops sending in the middle of each chunk, {@code replace} publishes
 * different bytes under the same version ({@code service}, {@code version},
 * {@code seed}). {@code PUT
 * /v1/models/SERVICE/VERSION} with {@code seed}, {@code size} and {@code chunk_size}
 * publishes a version.
 */
public final class OriginStandin implements Standin {

	private final Map<String, ModelVersion> models = new HashMap<>();

	private final Map<String, Long> chunkFetches = new TreeMap<>();

	private final LinkRate rate;

	private long sentChunkBytes;

	private long manifestRequests;

	private long chunkRequests;

	private @Nullable StandinServer server;

	/**
	 * Creates an origin without models.
	 * @param bytesPerSecond rate of the link of the origin, 0 for no limit
	 */
	public OriginStandin(long bytesPerSecond) {
		this.rate = new LinkRate(bytesPerSecond);
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("corrupt", "truncate", "stall", "replace");
	}

	@Override
	public void attach(StandinServer server) {
		this.server = server;
	}

	private StandinServer server() {
		if (this.server == null) {
			throw new IllegalStateException("origin is not attached");
		}
		return this.server;
	}

	/**
	 * Publishes a version; for callers in the same process.
	 * @param service the service
	 * @param version the version
	 * @param seed the seed of the content
	 * @param size size of the content in bytes
	 * @param chunkSize size of a chunk in bytes
	 * @return the manifest
	 */
	public Manifest publish(String service, String version, long seed, int size, int chunkSize) {
		ModelVersion model = ModelVersion.generate(service, version, seed, size, chunkSize);
		server().callOnLoop(() -> this.models.put(service + "/" + version, model));
		return model.manifest();
	}

	@Override
	public void onFaultActivated(ObjectNode fault) {
		if (fault.path("kind").asText().equals("replace")) {
			String name = fault.path("service").asText() + "/" + fault.path("version").asText();
			this.models.computeIfPresent(name,
					(key, old) -> ModelVersion.generate(old.manifest().service(), old.manifest().version(),
							fault.path("seed").asLong(), old.content().length, old.manifest().chunkSize()));
		}
	}

	@Override
	public BodySink handleCall(Call call) {
		return BodySink.collecting((body) -> {
			List<String> path = call.segments();
			if (path.size() < 4 || !path.get(1).equals("models")) {
				call.respondWithError(404, "no such path");
				return;
			}
			String name = path.get(2) + "/" + path.get(3);
			if (call.method().equals("PUT") && path.size() == 4) {
				publish(call, path.get(2), path.get(3), JsonBody.parse(body));
				return;
			}
			ModelVersion model = this.models.get(name);
			if (model == null) {
				call.respondWithError(404, "no such version");
			}
			else if (path.size() == 5 && path.get(4).equals("manifest")) {
				this.manifestRequests++;
				call.respond(200, model.manifestJson());
			}
			else if (path.size() == 6 && path.get(4).equals("chunks")) {
				sendChunk(call, model, Integer.parseInt(path.get(5)));
			}
			else {
				call.respondWithError(404, "no such path");
			}
		});
	}

	private void publish(Call call, String service, String version, ObjectNode body) {
		ModelVersion model = ModelVersion.generate(service, version, body.path("seed").asLong(),
				body.path("size").asInt(), body.path("chunk_size").asInt());
		this.models.put(service + "/" + version, model);
		call.respond(200, model.manifestJson().put("digest", model.manifest().digest()));
	}

	private void sendChunk(Call call, ModelVersion model, int index) {
		if (index < 0 || index >= model.manifest().chunkCount()) {
			call.respondWithError(404, "no such chunk");
			return;
		}
		this.chunkRequests++;
		this.chunkFetches.merge(model.manifest().service() + "/" + model.manifest().version() + "/" + index, 1L,
				Long::sum);
		byte[] bytes = model.chunk(index);
		if (server().faults().tryTrigger("corrupt")) {
			bytes[bytes.length / 2] ^= 1;
		}
		int endOffset = bytes.length;
		if (server().faults().tryTrigger("truncate")) {
			endOffset = bytes.length / 2;
		}
		new ChunkSender(server(), this.rate, call, bytes, endOffset, this::recordSentBytes).start();
	}

	private void recordSentBytes(int bytes) {
		this.sentChunkBytes += bytes;
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = JsonBody.object();
		node.put("chunk_bytes", this.sentChunkBytes);
		node.put("chunks", this.chunkRequests);
		node.put("manifests", this.manifestRequests);
		ObjectNode fetchCounts = node.putObject("fetches");
		this.chunkFetches.forEach(fetchCounts::put);
		return node;
	}

}
