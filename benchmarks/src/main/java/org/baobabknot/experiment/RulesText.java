package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Writes the rules of a deployment.
 */
public final class RulesText {

	private final Deployment deployment;

	private final Set<String> domainsOut = new TreeSet<>();

	private String version = "";

	private String digest = "";

	private int allowedOut = 1;

	/**
	 * Creates rules with all failure domains in service and no model.
	 * @param deployment the deployment
	 */
	public RulesText(Deployment deployment) {
		this.deployment = deployment;
	}

	/**
	 * Sets the model.
	 * @param modelVersion the version
	 * @param manifestDigest digest of its manifest
	 * @return these rules
	 */
	public RulesText model(String modelVersion, String manifestDigest) {
		this.version = modelVersion;
		this.digest = manifestDigest;
		return this;
	}

	/**
	 * Sets how many replicas of the model service may be out for a switch in one failure
	 * domain.
	 * @param replicas the number
	 * @return these rules
	 */
	public RulesText allowedOut(int replicas) {
		this.allowedOut = replicas;
		return this;
	}

	/**
	 * Takes a failure domain out of service or back.
	 * @param domain the failure domain
	 * @param inService whether it is in service
	 * @return these rules
	 */
	public RulesText domain(String domain, boolean inService) {
		if (inService) {
			this.domainsOut.remove(domain);
		}
		else {
			this.domainsOut.add(domain);
		}
		return this;
	}

	/**
	 * Returns the text.
	 * @return one rule per line
	 */
	public String text() {
		List<String> lines = new ArrayList<>();
		lines.add("# Rules of " + this.deployment.name());
		if (!this.version.isEmpty()) {
			lines.add("model " + this.deployment.modelService().name() + " " + this.version + " sha256:" + this.digest
					+ " out=" + this.allowedOut + "  # model team: release " + this.version);
		}
		String services = String.join(",", this.deployment.services().stream().map(Deployment.Service::name).toList());
		Map<Integer, String> shares = Map.of(0, " share=4", 1, " share=3", 2, " share=2");
		for (int i = 0; i < this.deployment.workspaces().size(); i++) {
			lines.add("workspace " + this.deployment.workspaces().get(i) + " " + services + shares.getOrDefault(i, "")
					+ "  # customer service: contract");
		}
		lines
			.add("once " + this.deployment.orderService().name() + " POST /orders  # order desk: an order is paid for");
		for (Deployment.Domain domain : this.deployment.domains()) {
			boolean out = this.domainsOut.contains(domain.name());
			lines.add("domain " + domain.name() + (out ? " out" : " in") + "  # operations: "
					+ (out ? "maintenance" : "regular service"));
		}
		return String.join("\n", lines) + "\n";
	}

}
