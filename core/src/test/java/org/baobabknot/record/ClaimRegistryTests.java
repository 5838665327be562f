package org.baobabknot.record;

import java.util.List;

import org.baobabknot.record.ClaimCommand.ClaimedElsewhere;
import org.baobabknot.record.ClaimCommand.Denied;
import org.baobabknot.record.ClaimCommand.Granted;
import org.baobabknot.record.ClaimCommand.ReadBucket;
import org.baobabknot.record.ClaimCommand.ResolveClaim;
import org.baobabknot.record.ClaimCommand.WriteBucket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ClaimRegistry}.
 */
class ClaimRegistryTests {

	private static final ClaimTime TIME = new ClaimTime(0, 1000);

	private static final Hash128 ID = new Hash128(1, 1);

	private static final Hash128 KEY = new Hash128(5, 5);

	private final ClaimRegistry registry = new ClaimRegistry("agent-1", 3, new ClaimSettings(1, 200, 600, 0));

	private WriteBucket startWriting() {
		ReadBucket read = (ReadBucket) this.registry.requestClaim(ID, KEY, TIME).get(0);
		return (WriteBucket) this.registry.onReadResult(read, new BucketReadResult.Absent(), TIME).get(0);
	}

	private static BucketReadResult.Value value(Claim... claims) {
		return new BucketReadResult.Value(9, ClaimCodec.encode(List.of(claims)));
	}

	@Nested
	class Writing {

		// Guards against a grant before the claim is in the store.
		@Test
		void grantsAfterTheWrite() {
			WriteBucket write = startWriting();
			assertThat(write.expectedVersion(), is(0L));
			assertThat(ClaimRegistryTests.this.registry.onWriteResult(write, new BucketWriteResult.Written(1), TIME),
					contains(new Granted(ID)));
		}

		// Guards against one write for each claim, which exceeds the store's write rate.
		@Test
		void groupsClaimsThatWait() {
			WriteBucket write = startWriting();
			for (int i = 0; i < 3; i++) {
				assertThat(ClaimRegistryTests.this.registry.requestClaim(new Hash128(2, i), new Hash128(6, i), TIME),
						hasSize(0));
			}
			List<ClaimCommand> next = ClaimRegistryTests.this.registry.onWriteResult(write,
					new BucketWriteResult.Written(1), TIME);
			assertThat(next, hasSize(2));
			assertThat(ClaimCodec.decode(((WriteBucket) next.get(1)).value()), hasSize(4));
		}

		// Guards against a lost response of the store that causes a claimed request to be
		// refused or run twice.
		@Test
		void settlesALostAnswerByReadingBack() {
			WriteBucket write = startWriting();
			ReadBucket read = (ReadBucket) ClaimRegistryTests.this.registry
				.onWriteResult(write, new BucketWriteResult.OutcomeUnknown(), TIME)
				.get(0);
			assertThat(ClaimRegistryTests.this.registry.onReadResult(read, new BucketReadResult.Value(1, write.value()),
					TIME), contains(new Granted(ID)));
		}

		// Guards against granting a request by the stored claim of an earlier, refused
		// request, which another agent may be replacing at the same time.
		@Test
		void doesNotSettleByAnEarlierOwnClaim() {
			Claim earlier = new Claim(KEY, "agent-1", 3, 77, 990);
			ReadBucket read = (ReadBucket) ClaimRegistryTests.this.registry.requestClaim(ID, KEY, TIME).get(0);
			WriteBucket write = (WriteBucket) ClaimRegistryTests.this.registry.onReadResult(read, value(earlier), TIME)
				.get(0);
			ReadBucket back = (ReadBucket) ClaimRegistryTests.this.registry
				.onWriteResult(write, new BucketWriteResult.OutcomeUnknown(), TIME)
				.get(0);
			List<ClaimCommand> next = ClaimRegistryTests.this.registry.onReadResult(back, value(earlier), TIME);
			assertThat(next, hasSize(1));
			assertThat(next.get(0), instanceOf(WriteBucket.class));
		}

		// Guards against handing over a request without a claim while the store is down.
		@Test
		void deniesWhenTheStoreIsDown() {
			ReadBucket read = (ReadBucket) ClaimRegistryTests.this.registry.requestClaim(ID, KEY, TIME).get(0);
			assertThat(ClaimRegistryTests.this.registry.onReadResult(read, new BucketReadResult.Failed(), TIME),
					contains(new Denied(ID, ClaimCommand.DenialReason.STORE_UNAVAILABLE)));
			assertThat(ClaimRegistryTests.this.registry.pendingRequests(), is(0));
		}

		// Guards against a value that exceeds the store's size limit.
		@Test
		void deniesWhenTheBucketIsFull() {
			ReadBucket read = (ReadBucket) ClaimRegistryTests.this.registry.requestClaim(ID, KEY, TIME).get(0);
			Claim[] claims = new Claim[4];
			for (int i = 0; i < 4; i++) {
				claims[i] = new Claim(new Hash128(8, i), "agent-2", 1, i, 999);
			}
			assertThat(ClaimRegistryTests.this.registry.onReadResult(read, value(claims), TIME),
					contains(new Denied(ID, ClaimCommand.DenialReason.BUCKET_FULL)));
		}

	}

	@Nested
	class ClaimsOfOthers {

		private final Claim other = new Claim(KEY, "agent-2", 1, 4, 900);

		private ResolveClaim claimAndResolve() {
			ReadBucket read = (ReadBucket) ClaimRegistryTests.this.registry.requestClaim(ID, KEY, TIME).get(0);
			return (ResolveClaim) ClaimRegistryTests.this.registry.onReadResult(read, value(this.other), TIME).get(0);
		}

		// Guards against running a request whose key another agent may have run.
		@Test
		void areNotOverwrittenWhenTheOutcomeIsUnknown() {
			List<ClaimCommand> next = ClaimRegistryTests.this.registry.onResolution(claimAndResolve(),
					new Resolution.Unknown(), TIME);
			assertThat(next, contains(new ClaimedElsewhere(ID, this.other, new Resolution.Unknown())));
		}

		// Guards against a key that stays blocked although its request never ran.
		@Test
		void areReplacedWhenTheRequestDidNotRun() {
			List<ClaimCommand> next = ClaimRegistryTests.this.registry.onResolution(claimAndResolve(),
					new Resolution.NotRun(), TIME);
			assertThat(next.get(0), instanceOf(WriteBucket.class));
			assertThat(((WriteBucket) next.get(0)).expectedVersion(), is(9L));
		}

		// Guards against keys that stay claimed forever.
		@Test
		void areDroppedAfterTheRetention() {
			ReadBucket read = (ReadBucket) ClaimRegistryTests.this.registry.requestClaim(ID, KEY, TIME).get(0);
			Claim old = new Claim(KEY, "agent-2", 1, 4, 400);
			assertThat(ClaimRegistryTests.this.registry.onReadResult(read, value(old), TIME).get(0),
					instanceOf(WriteBucket.class));
		}

	}

}
