package org.baobabknot.record;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RequestRecord}.
 */
class RequestRecordTests {

	private static final long INCARNATION = 7;

	private static final Hash128 ID = new Hash128(1, 1);

	private static final Hash128 OTHER_ID = new Hash128(1, 2);

	private static final Hash128 KEY = Hash128.digest("orders", "inn", "key");

	private static final Hash128 FINGERPRINT = Hash128.digest("body");

	private static final StoredResponse RESPONSE = new StoredResponse(201, List.of(), "", "", new byte[100]);

	private final RequestRecord record = new RequestRecord(new RecordSettings(3, 1000, 128, 150), INCARNATION);

	private void run(Hash128 id, Hash128 key, long now) {
		this.record.register(id, key, FINGERPRINT, now);
		this.record.tryHandOver(id);
		this.record.storeResponse(id, RESPONSE, now);
	}

	@Nested
	class Repeats {

		// Guards against running a repeated request again.
		@Test
		void areAnsweredWithTheFirstResult() {
			run(ID, KEY, 0);
			assertThat(RequestRecordTests.this.record.register(ID, KEY, FINGERPRINT, 1),
					is(new RegistrationResult.Ran(RESPONSE)));
			assertThat(RequestRecordTests.this.record.register(OTHER_ID, KEY, FINGERPRINT, 1),
					is(new RegistrationResult.Ran(RESPONSE)));
		}

		// Guards against returning the response of one request to a different request.
		@Test
		void withOtherContentAreRefused() {
			run(ID, KEY, 0);
			assertThat(RequestRecordTests.this.record.register(OTHER_ID, KEY, Hash128.digest("other"), 1),
					instanceOf(RegistrationResult.KeyReused.class));
		}

		// Guards against handing a request over twice.
		@Test
		void handOverOnce() {
			RequestRecordTests.this.record.register(ID, null, FINGERPRINT, 0);
			assertThat(RequestRecordTests.this.record.tryHandOver(ID), is(true));
			assertThat(RequestRecordTests.this.record.tryHandOver(ID), is(false));
			assertThat(RequestRecordTests.this.record.register(ID, null, FINGERPRINT, 0),
					instanceOf(RegistrationResult.Running.class));
		}

	}

	@Nested
	class Resolving {

		// Guards against a request that runs after it was resolved as NOT_RUN.
		@Test
		void leavesATombstone() {
			assertThat(RequestRecordTests.this.record.resolve(ID, INCARNATION, 0), instanceOf(Resolution.NotRun.class));
			assertThat(RequestRecordTests.this.record.register(ID, null, FINGERPRINT, 1),
					instanceOf(RegistrationResult.Tombstoned.class));
		}

		// Guards against a pending request that is handed over after it was resolved as
		// NOT_RUN.
		@Test
		void stopsAWaitingRequest() {
			RequestRecordTests.this.record.register(ID, KEY, FINGERPRINT, 0);
			assertThat(RequestRecordTests.this.record.resolve(ID, INCARNATION, 0), instanceOf(Resolution.NotRun.class));
			assertThat(RequestRecordTests.this.record.tryHandOver(ID), is(false));
		}

		// Guards against a restarted agent that resolves requests of its previous
		// incarnation.
		@Test
		void ofAnEarlierIncarnationIsUnknown() {
			assertThat(RequestRecordTests.this.record.resolve(ID, INCARNATION - 1, 0),
					instanceOf(Resolution.Unknown.class));
		}

	}

	@Nested
	class Bounds {

		// Guards against early eviction of a request, after which a repeat would run
		// again.
		@Test
		void refuseInsteadOfEvictingEarly() {
			for (int i = 0; i < 3; i++) {
				run(new Hash128(2, i), new Hash128(3, i), 0);
			}
			assertThat(RequestRecordTests.this.record.register(ID, KEY, FINGERPRINT, 999),
					instanceOf(RegistrationResult.RecordFull.class));
			assertThat(RequestRecordTests.this.record.register(ID, KEY, FINGERPRINT, 1000),
					instanceOf(RegistrationResult.Registered.class));
		}

		// Guards against stored bodies whose total size grows without bound.
		@Test
		void dropTheOldestBodies() {
			run(ID, null, 0);
			run(OTHER_ID, null, 0);
			RegistrationResult.Ran first = (RegistrationResult.Ran) RequestRecordTests.this.record.register(ID, null,
					FINGERPRINT, 1);
			RegistrationResult.Ran second = (RegistrationResult.Ran) RequestRecordTests.this.record.register(OTHER_ID,
					null, FINGERPRINT, 1);
			assertThat(first.response().replayable(), is(false));
			assertThat(second.response().replayable(), is(true));
		}

	}

}
