package org.baobabknot.limit;

/**
 * In which role a process issues permits for a target. One in the {@link #SOLE} role and
 * two others that can't tell whether there is one issue 1.4 times the limit together.
 * More than two others exist only while the lists of several processes differ.
 */
public enum IssuerRole {

	/** The process knows that no other one issues more than a reduced part. */
	SOLE {
		@Override
		public double share(int processes) {
			return 1;
		}
	},

	/** Another process may be the sole issuer. */
	REDUCED {
		@Override
		public double share(int processes) {
			return REDUCED_SHARE;
		}
	},

	/** The process knows no other one, and each of them issues for itself. */
	ALONE {
		@Override
		public double share(int processes) {
			return 1.0 / Math.max(1, processes);
		}
	};

	private static final double REDUCED_SHARE = 0.2;

	/**
	 * Returns which part of a limit the process may issue.
	 * @param processes number of processes that share the limit
	 * @return part of the limit, from 0 to 1
	 */
	public abstract double share(int processes);

}
