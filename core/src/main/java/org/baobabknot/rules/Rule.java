package org.baobabknot.rules;

import java.util.List;

/**
 * One rule of the operators.
 */
public sealed interface Rule {

	/**
	 * Returns the line of the rule in the rule text.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Returns the comment of the rule, which states who asked for it and why.
	 * @return the comment without the leading {@code #}
	 */
	String comment();

	/**
	 * Returns the subject of the rule, which is unique in a rule set.
	 * @return verb and names
	 */
	String subject();

	/**
	 * Returns the rule in its normal form, without the comment.
	 * @return the text of the rule
	 */
	String text();

	/**
	 * Sets the model version of a service.
	 *
	 * @param line line in the text
	 * @param comment who asked and why
	 * @param service the service
	 * @param version the version to run
	 * @param digest digest of the manifest, 64 hexadecimal digits
	 * @param maxReplicasOut maximum number of replicas of one failure domain that may be
	 * out of service for a switch at the same time
	 */
	record Model(int line, String comment, String service, String version, String digest,
			int maxReplicasOut) implements Rule {

		@Override
		public String subject() {
			return "model " + this.service;
		}

		@Override
		public String text() {
			return "model %s %s sha256:%s out=%d".formatted(this.service, this.version, this.digest,
					this.maxReplicasOut);
		}

	}

	/**
	 * Sets the services that a workspace may use.
	 *
	 * @param line line in the text
	 * @param comment who asked and why
	 * @param workspace the workspace
	 * @param services the services
	 * @param share weight relative to other workspaces
	 * @param ceiling highest priority of its requests
	 */
	record Workspace(int line, String comment, String workspace, List<String> services, int share,
			Priority ceiling) implements Rule {

		public Workspace {
			services = List.copyOf(services);
		}

		@Override
		public String subject() {
			return "workspace " + this.workspace;
		}

		@Override
		public String text() {
			return "workspace %s %s share=%d priority=%s".formatted(this.workspace, String.join(",", this.services),
					this.share, this.ceiling.word());
		}

	}

	/**
	 * Takes a failure domain out of service or back in.
	 *
	 * @param line line in the text
	 * @param comment who asked and why
	 * @param domain the failure domain
	 * @param inService whether it is in service
	 */
	record Domain(int line, String comment, String domain, boolean inService) implements Rule {

		@Override
		public String subject() {
			return "domain " + this.domain;
		}

		@Override
		public String text() {
			return "domain %s %s".formatted(this.domain, this.inService ? "in" : "out");
		}

	}

	/**
	 * Marks requests that must run at most once.
	 *
	 * @param line line in the text
	 * @param comment who asked and why
	 * @param service the service
	 * @param method HTTP method, or {@code *} for all
	 * @param pathPrefix start of the path
	 */
	record Once(int line, String comment, String service, String method, String pathPrefix) implements Rule {

		@Override
		public String subject() {
			return "once %s %s %s".formatted(this.service, this.method, this.pathPrefix);
		}

		@Override
		public String text() {
			return subject();
		}

	}

}
