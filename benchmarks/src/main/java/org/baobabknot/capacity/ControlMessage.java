package org.baobabknot.capacity;

import java.util.Locale;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.ChunksHeld;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.protocol.generated.MemberState;
import org.baobabknot.protocol.generated.MembersValue;
import org.baobabknot.protocol.generated.Ping;
import org.baobabknot.protocol.generated.Pong;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.protocol.generated.RolloutEntry;
import org.baobabknot.protocol.generated.RolloutPhase;
import org.baobabknot.protocol.generated.RolloutUpdate;

/**
 * Examples of control messages, whose encoded size is measured without TLS and TCP
 * headers.
 */
enum ControlMessage {

	/** Sent on every connection each second, or each half second with open streams. */
	PING(() -> Frame.newBuilder().setPing(Ping.newBuilder().setSequence(100_000).setKnowledge(knowledge()))),

	/** Response of an agent to a ping. */
	PONG(() -> Frame.newBuilder()
		.setPong(Pong.newBuilder().setSequence(100_000).setKnowledge(knowledge()).setLoad(load()))),

	/**
	 * Response to a ping of an agent whose version has not changed since the previous
	 * pong.
	 */
	PONG_UNCHANGED(() -> Frame.newBuilder()
		.setPong(Pong.newBuilder()
			.setSequence(100_000)
			.setKnowledge(knowledge())
			.setLoad(load().toBuilder().clearService().clearVersion().clearDigest().setIdentityUnchanged(true)))),

	/** One change of the member list. */
	MEMBER_CHANGE(() -> Frame.newBuilder()
		.setMembersValue(
				MembersValue.newBuilder().setVersion(2_000_000).setBaseVersion(1_999_999).addMembers(member()))),

	/** A change of the rollout phase of one agent. */
	ROLLOUT_CHANGE(() -> Frame.newBuilder().setRolloutUpdate(RolloutUpdate.newBuilder().addEntries(rolloutEntry()))),

	/** Chunks held of a version with 1,000 chunks. */
	CHUNKS_HELD(() -> Frame.newBuilder()
		.setChunksHeld(
				ChunksHeld.newBuilder().setDigest("a".repeat(64)).setBitmap(ByteString.copyFrom(new byte[125]))));

	private static final long CLOCK = 1_796_000_000_000L << 16;

	private final Supplier<Frame.Builder> example;

	ControlMessage(Supplier<Frame.Builder> example) {
		this.example = example;
	}

	String jsonName() {
		return name().toLowerCase(Locale.ROOT);
	}

	int encodedBytes() {
		int size = this.example.get().setClock(CLOCK).build().getSerializedSize();
		return size + CodedOutputStream.computeUInt32SizeNoTag(size);
	}

	private static Knowledge knowledge() {
		return Knowledge.newBuilder().setRulesRevision(1_000_000).setMembersVersion(2_000_000).build();
	}

	private static Load load() {
		return Load.newBuilder()
			.setRunning(30)
			.setQueued(3)
			.setLimit(64)
			.setAdmission(Admission.OPEN)
			.setVersion("2026-12-04")
			.setDigest("a".repeat(64))
			.setService("translation")
			.setLatencyUs(250_000)
			.build();
	}

	private static Member member() {
		return Member.newBuilder()
			.setInstance(MeasuredTable.instance(4000))
			.setRole(Role.AGENT)
			.setFailureDomain("niederbayern")
			.setRegion("niederbayern")
			.setHost("10.0.120.120")
			.setPort(7000)
			.setService("translation")
			.setState(MemberState.LIVE)
			.build();
	}

	private static RolloutEntry rolloutEntry() {
		return RolloutEntry.newBuilder()
			.setInstance(MeasuredTable.instance(4000))
			.setIncarnation(1_796_000_000_000L)
			.setSequence(10)
			.setService("translation")
			.setFailureDomain("niederbayern")
			.setVersion("2026-12-04")
			.setPhase(RolloutPhase.READY)
			.build();
	}

}
