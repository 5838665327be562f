package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Builds the text of the rules of a deployment.
 */
public final class RulesText {

	private final Deployment deployment;

	private final Set<String> domainsOutOfService = new TreeSet<>();

	private String modelVersion = "";

	private String manifestDigest = "";

	private int maxOut = 1;

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
		this.modelVersion = modelVersion;
		this.manifestDigest = manifestDigest;
		return this;
	}

	/**
	 * Sets how many replicas of the model service may be out of service at once in one
	 * failure domain, to switch to another version.
	 * @param replicas the highest number of replicas
	 * @return these rules
	 */
	public RulesText allowedOut(int replicas) {
		this.maxOut = replicas;
		return this;
	}

	/**
	 * Takes a failure domain out of service or puts it back into service.
	 * @param domain the failure domain
	 * @param inService whether it is in service
	 * @return these rules
	 */
	public RulesText domain(String domain, boolean inService) {
		if (inService) {
			this.domainsOutOfService.remove(domain);
		}
		else {
			this.domainsOutOfService.add(domain);
		}
		return this;
	}

	/**
	 * Returns the text of the rules.
	 * @return one rule per line
	 */
	public String text() {
		List<String> lines = new ArrayList<>();
		lines.add("# Rules of " + this.deployment.name());
		if (!this.modelVersion.isEmpty()) {
			lines.add("model " + this.deployment.modelService().name() + " " + this.modelVersion + " sha256:"
					+ this.manifestDigest + " out=" + this.maxOut + "  # model team: release " + this.modelVersion);
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
			boolean outOfService = this.domainsOutOfService.contains(domain.name());
			lines.add("domain " + domain.name() + (outOfService ? " out" : " in") + "  # operations: "
					+ (outOfService ? "maintenance" : "regular service"));
		}
		return String.join("\n", lines) + "\n";
	}

}
