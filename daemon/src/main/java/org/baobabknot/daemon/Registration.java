package org.baobabknot.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.members.ChangeResult;
import org.baobabknot.members.ListedMember;
import org.baobabknot.members.MemberList;

/**
 * Registers this process in the platform's member list and retries registrations that
 * fail.
 */
final class Registration {

	private static final long RETRY_DELAY_MS = 1_000;

	private final MemberList memberList;

	private final ListedMember member;

	private final EventLoop loop;

	private volatile boolean isLeaving;

	Registration(MemberList memberList, ListedMember member, EventLoop loop) {
		this.memberList = memberList;
		this.member = member;
		this.loop = loop;
	}

	void register() {
		if (this.isLeaving) {
			return;
		}
		this.memberList.register(this.member).whenComplete((result, error) -> {
			if (!(result instanceof ChangeResult.Accepted)) {
				this.loop.schedule(this::register, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	void markLeaving() {
		this.isLeaving = true;
		this.memberList.markLeaving(this.member.instance());
	}

	CompletableFuture<ChangeResult> remove() {
		this.isLeaving = true;
		return this.memberList.remove(this.member.instance());
	}

}
