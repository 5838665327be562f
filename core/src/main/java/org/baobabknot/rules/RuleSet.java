package org.baobabknot.rules;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Immutable set of rules with queries that use maps built once. Two sets are equal if
 * their rules are equal.
 */
public final class RuleSet {

	private static final RuleSet EMPTY = new RuleSet(List.of());

	private final List<Rule> rules;

	private final Map<String, Rule.Model> models = new HashMap<>();

	private final Map<String, Rule.Workspace> workspaces = new HashMap<>();

	private final Map<String, Set<String>> servicesByWorkspace = new HashMap<>();

	private final Set<String> domainsOut = new HashSet<>();

	private final Map<String, List<Rule.Once>> onceByService = new HashMap<>();

	/**
	 * Creates a set.
	 * @param rules rules with distinct subjects
	 */
	public RuleSet(List<Rule> rules) {
		this.rules = List.copyOf(rules);
		this.rules.forEach(this::index);
	}

	private void index(Rule rule) {
		if (rule instanceof Rule.Model model) {
			this.models.put(model.service(), model);
		}
		else if (rule instanceof Rule.Workspace workspace) {
			this.workspaces.put(workspace.workspace(), workspace);
			this.servicesByWorkspace.put(workspace.workspace(), Set.copyOf(workspace.services()));
		}
		else if (rule instanceof Rule.Domain domain && !domain.inService()) {
			this.domainsOut.add(domain.domain());
		}
		else if (rule instanceof Rule.Once once) {
			this.onceByService.computeIfAbsent(once.service(), (absent) -> new ArrayList<>()).add(once);
		}
	}

	/**
	 * Returns the set without rules.
	 * @return the empty set
	 */
	public static RuleSet empty() {
		return EMPTY;
	}

	/**
	 * Returns the rules.
	 * @return rules in the order of their lines
	 */
	public List<Rule> rules() {
		return this.rules;
	}

	/**
	 * Returns the model rule of a service.
	 * @param service the service
	 * @return the rule, or nothing if the service has none
	 */
	public Optional<Rule.Model> modelFor(String service) {
		return Optional.ofNullable(this.models.get(service));
	}

	/**
	 * Returns whether a workspace may use a service.
	 * @param service the service
	 * @param workspace the workspace
	 * @return true if a rule of the workspace names the service
	 */
	public boolean servesWorkspace(String service, String workspace) {
		Set<String> services = this.servicesByWorkspace.get(workspace);
		return services != null && services.contains(service);
	}

	/**
	 * Returns whether a failure domain is in service.
	 * @param domain the failure domain
	 * @return false if a rule takes it out of service
	 */
	public boolean inService(String domain) {
		return !this.domainsOut.contains(domain);
	}

	/**
	 * Returns whether a request may run more than once. A path prefix is compared with
	 * the path as sent and in its decoded and normalized form, because a target may treat
	 * both as the same resource.
	 * @param service the service
	 * @param method the HTTP method
	 * @param path path of the request, with or without a query
	 * @return false if a rule marks the request as non-idempotent
	 */
	public boolean idempotent(String service, String method, String path) {
		List<Rule.Once> candidates = this.onceByService.get(service);
		if (candidates == null) {
			return true;
		}
		@Nullable String normal = null;
		for (Rule.Once once : candidates) {
			if (!once.method().equals("*") && !once.method().equalsIgnoreCase(method)) {
				continue;
			}
			if (path.startsWith(once.pathPrefix())) {
				return false;
			}
			normal = (normal != null) ? normal : RequestPaths.normalize(path);
			if (normal.startsWith(once.pathPrefix())) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns how many replicas of a service in one failure domain may be out of service
	 * for a switch at the same time.
	 * @param service the service
	 * @return maximum number of replicas, 1 without a rule
	 */
	public int maxReplicasOut(String service) {
		Rule.Model model = this.models.get(service);
		return (model != null) ? model.maxReplicasOut() : 1;
	}

	/**
	 * Returns the weight of a workspace relative to others.
	 * @param workspace the workspace
	 * @return the weight, 1 without a rule
	 */
	public int share(String workspace) {
		Rule.Workspace rule = this.workspaces.get(workspace);
		return (rule != null) ? rule.share() : 1;
	}

	/**
	 * Returns the highest priority that requests of a workspace may have.
	 * @param workspace the workspace
	 * @return the priority, normal without a rule
	 */
	public Priority priorityCeiling(String workspace) {
		Rule.Workspace rule = this.workspaces.get(workspace);
		return (rule != null) ? rule.ceiling() : Priority.NORMAL;
	}

	/**
	 * Returns the failure domains that are out of service.
	 * @return an unmodifiable set
	 */
	public Set<String> domainsOut() {
		return Collections.unmodifiableSet(this.domainsOut);
	}

	/**
	 * Returns every service that a rule names.
	 * @return names in alphabetical order
	 */
	public Set<String> services() {
		Set<String> names = new TreeSet<>(this.models.keySet());
		names.addAll(this.onceByService.keySet());
		this.servicesByWorkspace.values().forEach(names::addAll);
		return names;
	}

	/**
	 * Returns the workspaces that have a rule.
	 * @return an unmodifiable set
	 */
	public Set<String> workspaces() {
		return Collections.unmodifiableSet(this.workspaces.keySet());
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof RuleSet set && set.rules.equals(this.rules);
	}

	@Override
	public int hashCode() {
		return this.rules.hashCode();
	}

	@Override
	public String toString() {
		return "RuleSet" + this.rules;
	}

}
