package org.baobabknot.standin;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.origin.ChunkResult;
import org.baobabknot.origin.HttpWeightOrigin;
import org.baobabknot.origin.ManifestJson;
import org.baobabknot.origin.ManifestResult;
import org.baobabknot.origin.WeightOrigin;
import org.baobabknot.standin.origin.OriginStandin;
import org.baobabknot.weights.Digests;
import org.baobabknot.weights.Manifest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.not;

/**
 * Tests the adapter of the origin against the origin stand-in.
 */
class OriginStandinTests {

	private static final int CHUNK_BYTES = 64 * 1024;

	private final StandinFixture fixture = new StandinFixture();

	private OriginStandin origin;

	private StandinServer server;

	private WeightOrigin client;

	private Manifest start(long bytesPerSecond, Duration timeout) {
		this.origin = new OriginStandin(bytesPerSecond);
		this.server = this.fixture.start(this.origin);
		this.client = new HttpWeightOrigin(this.fixture.client(this.server.port()), timeout);
		return this.origin.publish("translation", "v1", 1, 3 * CHUNK_BYTES + 100, CHUNK_BYTES);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static <T> T await(CompletableFuture<T> future) throws Exception {
		return future.get(30, TimeUnit.SECONDS);
	}

	private byte[] chunk(int index) throws Exception {
		return ((ChunkResult.Fetched) await(this.client.chunk("translation", "v1", index))).bytes();
	}

	// Guards against chunks that do not match the published manifest.
	@Test
	void chunksMatchTheManifestAndAreCounted() throws Exception {
		Manifest manifest = start(0, Duration.ofSeconds(10));
		for (int index = 0; index < manifest.chunkCount(); index++) {
			assertThat(Digests.of(chunk(index)), equalTo(manifest.chunkDigests().get(index)));
		}
		assertThat(this.server.record().path("chunk_bytes").asLong(), equalTo(manifest.size()));
		ManifestResult.Fetched fetched = (ManifestResult.Fetched) await(this.client.manifest("translation", "v1"));
		assertThat(ManifestJson.read(fetched.json()), equalTo(manifest));
		assertThat(await(this.client.manifest("translation", "v2")), instanceOf(ManifestResult.Absent.class));
		assertThat(await(this.client.chunk("translation", "v1", 99)), instanceOf(ChunkResult.Absent.class));
	}

	// Guards against an origin that exceeds the rate of its link.
	@Test
	void keepsToTheRateOfItsLink() throws Exception {
		start(4 * CHUNK_BYTES, Duration.ofSeconds(10));
		long start = System.nanoTime();
		CompletableFuture<ChunkResult> first = this.client.chunk("translation", "v1", 0);
		CompletableFuture<ChunkResult> second = this.client.chunk("translation", "v1", 1);
		await(first);
		await(second);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start), greaterThan(480L));
	}

	// Guards against faults that have no effect on fetched chunks.
	@Test
	void faultsAffectChunks() throws Exception {
		Manifest manifest = start(0, Duration.ofMillis(600));
		this.server.activateFault(StandinFixture.fault("corrupt").put("times", 1));
		assertThat(Digests.of(chunk(0)), not(equalTo(manifest.chunkDigests().get(0))));
		assertThat(Digests.of(chunk(0)), equalTo(manifest.chunkDigests().get(0)));
		this.server.activateFault(StandinFixture.fault("truncate").put("times", 1));
		assertThat(await(this.client.chunk("translation", "v1", 0)), instanceOf(ChunkResult.Failed.class));
		this.server.activateFault(StandinFixture.fault("stall"));
		assertThat(await(this.client.chunk("translation", "v1", 0)), instanceOf(ChunkResult.Failed.class));
	}

	// Guards against a replaced version that still has the original bytes.
	@Test
	void replaceGivesOtherBytesUnderTheSameVersion() throws Exception {
		Manifest manifest = start(0, Duration.ofSeconds(10));
		this.server.activateFault(
				StandinFixture.fault("replace").put("service", "translation").put("version", "v1").put("seed", 2));
		assertThat(Digests.of(chunk(0)), not(equalTo(manifest.chunkDigests().get(0))));
	}

}
