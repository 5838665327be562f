package org.baobabknot.command;

import org.baobabknot.protocol.LocalState;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.time.HybridClock;

/**
 * State of the tool that is sent to its peers: identity, operator token and clock.
 */
final class OperatorState implements LocalState {

	private final Hello hello;

	private final HybridClock clock = new HybridClock(System::currentTimeMillis);

	OperatorState(String token) {
		this.hello = Hello.newBuilder()
			.setInstance("operator-" + ProcessHandle.current().pid())
			.setIncarnation(System.currentTimeMillis())
			.setRole(Role.OPERATOR)
			.setToken(token)
			.build();
	}

	@Override
	public Hello hello() {
		return this.hello;
	}

	@Override
	public Knowledge knowledge() {
		return Knowledge.getDefaultInstance();
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
