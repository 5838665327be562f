package org.baobabknot.weights;

import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link ChunkSet} and {@link Manifest}.
 */
class ChunkSetTests {

	private static final int CHUNK = 100;

	private final byte[] content = bytes(1, 950);

	private final Manifest manifest = Manifest.describe("translation", "v1", this.content, CHUNK);

	private final ChunkSet chunks = new ChunkSet(this.manifest);

	private static byte[] bytes(long seed, int length) {
		byte[] bytes = new byte[length];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private byte[] part(int index) {
		int from = index * CHUNK;
		return Arrays.copyOfRange(this.content, from, Math.min(this.content.length, from + CHUNK));
	}

	// Guards against corrupt, truncated or misplaced chunks being held.
	@Test
	void dropsBytesThatDifferFromTheManifest() {
		byte[] flipped = part(2);
		flipped[7] ^= 1;
		assertThat(this.chunks.put(2, flipped), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.put(2, Arrays.copyOf(part(2), 99)), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.put(3, part(2)), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.put(10, part(2)), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.held().isEmpty(), is(true));
	}

	// Guards against a partial set that counts as whole.
	@Test
	void isWholeOnlyWithAllChunks() {
		for (int index = 0; index < 10; index++) {
			assertThat(this.chunks.verifyWhole(), is(false));
			assertThat(this.chunks.put(index, part(index)), instanceOf(StoreResult.Stored.class));
		}
		assertThat(this.chunks.put(0, part(0)), instanceOf(StoreResult.Duplicate.class));
		assertThat(this.chunks.verifyWhole(), is(true));
	}

	// Guards against chunks that match a manifest whose whole digest does not.
	@Test
	void refusesAWholeWithAnotherDigest() {
		Manifest wrong = new Manifest("translation", "v1", this.content.length, CHUNK, this.manifest.chunkDigests(),
				Digests.of("other"));
		ChunkSet set = new ChunkSet(wrong);
		for (int index = 0; index < 10; index++) {
			set.put(index, part(index));
		}
		assertThat(set.complete(), is(true));
		assertThat(set.verifyWhole(), is(false));
	}

	// Guards against fetching unchanged chunks again, and against mixing in changed ones.
	@Test
	void adoptsOnlyEqualChunksOfAnotherVersion() {
		byte[] changed = this.content.clone();
		changed[450] ^= 1;
		this.chunks.put(1, part(1));
		this.chunks.put(4, part(4));
		ChunkSet next = new ChunkSet(Manifest.describe("translation", "v2", changed, CHUNK));
		assertThat(next.adoptFrom(this.chunks), is(1));
		assertThat(next.holds(1), is(true));
		assertThat(next.holds(4), is(false));
	}

	// Guards against two versions that share one manifest digest.
	@Test
	void digestCoversEveryField() {
		List<String> digests = this.manifest.chunkDigests();
		Manifest other = new Manifest("translation", "v2", 950, CHUNK, digests, this.manifest.wholeDigest());
		assertThat(other.digest(), not(this.manifest.digest()));
		assertThat(Digests.valid(other.digest()), is(true));
	}

}
