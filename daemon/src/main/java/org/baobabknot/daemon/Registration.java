package org.baobabknot.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.members.ChangeResult;
import org.baobabknot.members.ListedMember;
import org.baobabknot.members.MemberList;

/**
 * Enters this process in the platform's member list, and repeats calls that fail.
 */
final class Registration {

	private static final long RETRY_MS = 1_000;

	private final MemberList list;

	private final ListedMember member;

	private final EventLoop loop;

	private volatile boolean leaving;

	Registration(MemberList list, ListedMember member, EventLoop loop) {
		this.list = list;
		this.member = member;
		this.loop = loop;
	}

	void register() {
		if (this.leaving) {
			return;
		}
		this.list.register(this.member).whenComplete((result, error) -> {
			if (!(result instanceof ChangeResult.Accepted)) {
				this.loop.schedule(this::register, RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	void leaving() {
		this.leaving = true;
		this.list.markLeaving(this.member.instance());
	}

	CompletableFuture<ChangeResult> remove() {
		this.leaving = true;
		return this.list.remove(this.member.instance());
	}

}
