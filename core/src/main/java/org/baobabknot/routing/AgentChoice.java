package org.baobabknot.routing;

/**
 * The agent chosen for a request.
 *
 * @param agent instance name of the agent
 * @param failureDomain failure domain of the agent
 * @param kind how it was chosen
 */
public record AgentChoice(String agent, String failureDomain, Kind kind) {

	/**
	 * Reason for which an agent is chosen.
	 */
	public enum Kind {

		/**
		 * By load, in the own failure domain.
		 */
		LOCAL,

		/**
		 * By load, in another failure domain.
		 */
		SPILLED,

		/**
		 * By the affinity of the request.
		 */
		AFFINITY,

		/**
		 * As a last resort: every agent failed recently.
		 */
		LAST_RESORT

	}

}
