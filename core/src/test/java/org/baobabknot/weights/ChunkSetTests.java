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

	private static final int CHUNK_BYTES = 100;

	private final byte[] content = bytes(1, 950);

	private final Manifest manifest = Manifest.of("translation", "v1", this.content, CHUNK_BYTES);

	private final ChunkSet chunks = new ChunkSet(this.manifest);

	private static byte[] bytes(long seed, int length) {
		byte[] bytes = new byte[length];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private byte[] chunkBytes(int index) {
		int from = index * CHUNK_BYTES;
		return Arrays.copyOfRange(this.content, from, Math.min(this.content.length, from + CHUNK_BYTES));
	}

	// Guards against accepting corrupt, truncated or misplaced chunks.
	@Test
	void dropsBytesThatDifferFromTheManifest() {
		byte[] flipped = chunkBytes(2);
		flipped[7] ^= 1;
		assertThat(this.chunks.put(2, flipped), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.put(2, Arrays.copyOf(chunkBytes(2), 99)), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.put(3, chunkBytes(2)), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.put(10, chunkBytes(2)), instanceOf(StoreResult.Corrupt.class));
		assertThat(this.chunks.heldChunks().isEmpty(), is(true));
	}

	// Guards against a partial set that counts as complete.
	@Test
	void isWholeOnlyWithAllChunks() {
		for (int index = 0; index < 10; index++) {
			assertThat(this.chunks.verifyWhole(), is(false));
			assertThat(this.chunks.put(index, chunkBytes(index)), instanceOf(StoreResult.Stored.class));
		}
		assertThat(this.chunks.put(0, chunkBytes(0)), instanceOf(StoreResult.Duplicate.class));
		assertThat(this.chunks.verifyWhole(), is(true));
	}

	// Guards against content whose chunks match the manifest while its whole digest does
	// not.
	@Test
	void rejectsContentWithAnotherDigest() {
		Manifest wrong = new Manifest("translation", "v1", this.content.length, CHUNK_BYTES,
				this.manifest.chunkDigests(), Digests.of("other"));
		ChunkSet set = new ChunkSet(wrong);
		for (int index = 0; index < 10; index++) {
			set.put(index, chunkBytes(index));
		}
		assertThat(set.complete(), is(true));
		assertThat(set.verifyWhole(), is(false));
	}

	// Guards against fetching unchanged chunks again, and against mixing in changed ones.
	@Test
	void copiesOnlyEqualChunksOfAnotherVersion() {
		byte[] changed = this.content.clone();
		changed[450] ^= 1;
		this.chunks.put(1, chunkBytes(1));
		this.chunks.put(4, chunkBytes(4));
		ChunkSet next = new ChunkSet(Manifest.of("translation", "v2", changed, CHUNK_BYTES));
		assertThat(next.copyMatchingChunks(this.chunks), is(1));
		assertThat(next.holds(1), is(true));
		assertThat(next.holds(4), is(false));
	}

	// Guards against two versions that share one manifest digest.
	@Test
	void digestCoversEveryField() {
		List<String> digests = this.manifest.chunkDigests();
		Manifest other = new Manifest("translation", "v2", 950, CHUNK_BYTES, digests, this.manifest.wholeDigest());
		assertThat(other.digest(), not(this.manifest.digest()));
		assertThat(Digests.isValid(other.digest()), is(true));
	}

}
