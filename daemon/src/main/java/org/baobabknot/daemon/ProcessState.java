package org.baobabknot.daemon;

import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.protocol.LocalState;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.time.HybridClock;
import org.jspecify.annotations.Nullable;

/**
 * State of this process that its Hello and its later frames carry to peers.
 */
final class ProcessState implements LocalState {

	private final Hello hello;

	private final HybridClock clock;

	private final ConfigurationView configuration;

	private final MembershipView membership;

	private final StatusReport report;

	ProcessState(Settings settings, long incarnation, HybridClock clock, ConfigurationView configuration,
			MembershipView membership, StatusReport report) {
		this.hello = Hello.newBuilder()
			.setInstance(settings.instance())
			.setIncarnation(incarnation)
			.setFailureDomain(settings.failureDomain())
			.setRegion(settings.region())
			.setRole(toMessageRole(settings.role()))
			.build();
		this.clock = clock;
		this.configuration = configuration;
		this.membership = membership;
		this.report = report;
	}

	static Role toMessageRole(ProcessRole role) {
		return (role == ProcessRole.ENTRY) ? Role.ENTRY : Role.AGENT;
	}

	@Override
	public Hello hello() {
		return this.hello;
	}

	@Override
	public Knowledge knowledge() {
		return Knowledge.newBuilder()
			.setRulesRevision(this.configuration.revision())
			.setMembersVersion(this.membership.version())
			.build();
	}

	@Override
	public @Nullable Load load() {
		return this.report.currentLoad();
	}

	@Override
	public long clock() {
		return this.clock.now();
	}

	@Override
	public void observeClock(long remote) {
		this.clock.observe(remote);
	}

}
