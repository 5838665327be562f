package org.baobabknot.fleet;

import java.util.Set;

/**
 * Settings of a workspace, which represents one customer of the fleet.
 *
 * @param name name of the workspace
 * @param priority priority that replaces the priority of the route, 0 is the highest, or
 * -1 for none
 * @param regions regions in which its requests may be served, empty for all
 */
public record Workspace(String name, int priority, Set<String> regions) {

	public Workspace {
		regions = Set.copyOf(regions);
	}

}
