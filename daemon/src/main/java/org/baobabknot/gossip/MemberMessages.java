package org.baobabknot.gossip;

import java.util.List;

import org.baobabknot.members.ListedMember;
import org.baobabknot.members.MembersResult;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberRole;
import org.baobabknot.membership.MemberState;
import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.protocol.generated.MembersValue;
import org.baobabknot.protocol.generated.Role;

/**
 * Converts member lists between the platform's form, the protocol and the core.
 */
final class MemberMessages {

	private MemberMessages() {
	}

	static MemberUpdate update(MembersResult.Received listed, long above) {
		List<Member> members = listed.members().stream().map(MemberMessages::member).toList();
		return (listed.full()) ? MemberUpdate.full(listed.version(), members)
				: MemberUpdate.changes(above, listed.version(), members);
	}

	static MemberUpdate update(MembersValue value) {
		List<Member> members = value.getMembersList().stream().map(MemberMessages::member).toList();
		return (value.getFull()) ? MemberUpdate.full(value.getVersion(), members)
				: MemberUpdate.changes(value.getBaseVersion(), value.getVersion(), members);
	}

	static MembersValue message(MemberUpdate update) {
		MembersValue.Builder value = MembersValue.newBuilder()
			.setVersion(update.version())
			.setFull(update.full())
			.setBaseVersion(update.baseVersion());
		update.members().forEach((member) -> value.addMembers(message(member)));
		return value.build();
	}

	private static Member member(ListedMember listed) {
		MemberRole role = (listed.role() == ListedMember.Role.ENTRY) ? MemberRole.ENTRY : MemberRole.AGENT;
		MemberState state = switch (listed.state()) {
			case LIVE -> MemberState.LIVE;
			case LEAVING -> MemberState.LEAVING;
			case GONE -> MemberState.GONE;
		};
		return new Member(listed.instance(), role, listed.failureDomain(), listed.region(), listed.host(),
				listed.port(), listed.service(), state);
	}

	private static Member member(org.baobabknot.protocol.generated.Member message) {
		MemberRole role = (message.getRole() == Role.ENTRY) ? MemberRole.ENTRY : MemberRole.AGENT;
		MemberState state = switch (message.getState()) {
			case LIVE -> MemberState.LIVE;
			case MEMBER_LEAVING -> MemberState.LEAVING;
			default -> MemberState.GONE;
		};
		return new Member(message.getInstance(), role, message.getFailureDomain(), message.getRegion(),
				message.getHost(), message.getPort(), message.getService(), state);
	}

	private static org.baobabknot.protocol.generated.Member message(Member member) {
		return org.baobabknot.protocol.generated.Member.newBuilder()
			.setInstance(member.instance())
			.setRole((member.role() == MemberRole.ENTRY) ? Role.ENTRY : Role.AGENT)
			.setFailureDomain(member.failureDomain())
			.setRegion(member.region())
			.setHost(member.host())
			.setPort(member.port())
			.setService(member.service())
			.setState(state(member.state()))
			.build();
	}

	private static org.baobabknot.protocol.generated.MemberState state(MemberState state) {
		return switch (state) {
			case LIVE -> org.baobabknot.protocol.generated.MemberState.LIVE;
			case LEAVING -> org.baobabknot.protocol.generated.MemberState.MEMBER_LEAVING;
			case GONE -> org.baobabknot.protocol.generated.MemberState.GONE;
		};
	}

}
