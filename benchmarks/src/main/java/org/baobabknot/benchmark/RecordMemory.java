package org.baobabknot.benchmark;

import java.util.List;
import java.util.Locale;

import org.baobabknot.record.Claim;
import org.baobabknot.record.ClaimCodec;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.RecordSettings;
import org.baobabknot.record.RequestRecord;
import org.baobabknot.record.StoredResponse;

/**
 * Measures the memory of one recorded request by the growth of the heap, and the bytes of
 * one claim in the store. Prints one line of JSON.
 */
public final class RecordMemory {

	private static final int RECORDS = 200_000;

	private static final int BODY_BYTES = 200;

	private RecordMemory() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		double withKey = bytesPerRecord(true, 0);
		double withoutKey = bytesPerRecord(false, 0);
		double withBody = bytesPerRecord(true, BODY_BYTES);
		Claim claim = new Claim(new Hash128(1L << 62, 7), "translation-ob-a-12", 1L << 58, 123_456, 1_790_000_000L);
		System.out.printf(Locale.ROOT,
				"{\"records\":%d,\"bytes_per_record\":%.0f,\"bytes_per_record_without_key\":%.0f,"
						+ "\"bytes_per_record_with_body_of_%d\":%.0f,\"bytes_per_claim_in_store\":%d}%n",
				RECORDS, withKey, withoutKey, BODY_BYTES, withBody, ClaimCodec.encode(List.of(claim)).length);
	}

	private static double bytesPerRecord(boolean keyed, int bodyBytes) {
		long before = usedHeapBytes();
		RequestRecord record = new RequestRecord(new RecordSettings(RECORDS, Long.MAX_VALUE, 1024, Long.MAX_VALUE), 1);
		for (int i = 0; i < RECORDS; i++) {
			Hash128 id = new Hash128(i, 31L * i);
			record.register(id, keyed ? new Hash128(i, 7) : null, new Hash128(i, 9), i);
			record.tryHandOver(id);
			record.storeResponse(id, new StoredResponse(201, List.of(), "", "", new byte[bodyBytes]), i);
		}
		long after = usedHeapBytes();
		if (record.size() != RECORDS) {
			throw new IllegalStateException("expected " + RECORDS + " records, got " + record.size());
		}
		return (after - before) / (double) RECORDS;
	}

	private static long usedHeapBytes() {
		for (int i = 0; i < 4; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
