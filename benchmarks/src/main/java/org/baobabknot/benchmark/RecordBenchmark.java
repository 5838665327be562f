package org.baobabknot.benchmark;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.baobabknot.record.Claim;
import org.baobabknot.record.ClaimCodec;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.RecordSettings;
import org.baobabknot.record.RegistrationResult;
import org.baobabknot.record.RequestRecord;
import org.baobabknot.record.StoredResponse;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of recording one non-idempotent request.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RecordBenchmark {

	private static final int MAX_RECORDS = 20_000;

	private static final byte[] BODY = new byte[200];

	private final RequestRecord record = new RequestRecord(
			new RecordSettings(MAX_RECORDS, MAX_RECORDS / 2, 1024, Long.MAX_VALUE), 1);

	private long now;

	/**
	 * Registers, hands over and completes one request with a key while 10,000 are
	 * recorded.
	 * @return the result of the registration
	 */
	@Benchmark
	public RegistrationResult recordOne() {
		this.now++;
		Hash128 id = new Hash128(this.now, this.now * 31);
		RegistrationResult registration = this.record.register(id, new Hash128(this.now, 7), id, this.now);
		this.record.tryHandOver(id);
		this.record.storeResponse(id, new StoredResponse(201, List.of(), "", "", BODY), this.now);
		return registration;
	}

	/**
	 * Hashes a key with its service and workspace.
	 * @return the hash
	 */
	@Benchmark
	public Hash128 keyHash() {
		return Hash128.digest("order-desk", "lahore-shop-17", "0b5c1a52-4f39-4d2b-9b4e-7f2f5b9a6f60");
	}

	/**
	 * Encodes one claim.
	 * @return the encoded claim
	 */
	@Benchmark
	public byte[] claimText() {
		return ClaimCodec
			.encode(List.of(new Claim(new Hash128(this.now, 7), "agent-12", 1L << 58, this.now, 1_790_000_000L)));
	}

}
