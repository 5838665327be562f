import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** The origin of weights, and the pieces of each version. */
final class Weights {

	private final String model;

	private final int chunks;

	private final int chunkBytes;

	private final Map<Long, byte[]> pieces = new ConcurrentHashMap<>();

	private final Map<Long, String> digests = new ConcurrentHashMap<>();

	private final HttpStandin server;

	Weights(String host, String model, int chunks, int chunkBytes) throws IOException {
		this.model = model;
		this.chunks = chunks;
		this.chunkBytes = chunkBytes;
		this.server = new HttpStandin(host, 0, this::handle);
	}

	String address() {
		return this.server.address();
	}

	int chunks() {
		return this.chunks;
	}

	byte[] piece(long version, int number) {
		return this.pieces.computeIfAbsent(version * 10_000 + number, (seed) -> {
			byte[] bytes = new byte[this.chunkBytes];
			new Random(seed).nextBytes(bytes);
			return bytes;
		});
	}

	static String digest(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	String digest(long version, int number) {
		return this.digests.computeIfAbsent(version * 10_000 + number, (seed) -> digest(piece(version, number)));
	}

	private void handle(HttpStandin.Request request, HttpStandin.Answer answer) throws IOException {
		long version = Long.parseLong(request.query().getOrDefault("version", "1"));
		if (request.path().startsWith("/manifest/")) {
			List<Object> digests = new ArrayList<>();
			for (int number = 0; number < this.chunks; number++) {
				digests.add(digest(version, number));
			}
			answer.sendJson(200, Map.of(), Json.map("model", this.model, "version", version, "chunk_bytes",
					this.chunkBytes, "layers", 16, "digests", digests));
			return;
		}
		answer.send(200, Map.of(), piece(version, Integer.parseInt(request.query().get("num"))));
	}

}
