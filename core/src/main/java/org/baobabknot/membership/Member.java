package org.baobabknot.membership;

/**
 * An instance on the member list.
 *
 * @param instance unique name of the instance
 * @param role role of the instance
 * @param failureDomain its failure domain
 * @param region its region
 * @param host address at which this process reaches it
 * @param port port for connections between processes
 * @param service service of the target behind an agent; empty for an entry
 * @param state whether it accepts requests
 */
public record Member(String instance, MemberRole role, String failureDomain, String region, String host, int port,
		String service, MemberState state) {

	/**
	 * Returns this member in another state.
	 * @param other the state
	 * @return a copy
	 */
	public Member withState(MemberState other) {
		return new Member(this.instance, this.role, this.failureDomain, this.region, this.host, this.port, this.service,
				other);
	}

}
