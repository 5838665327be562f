package org.baobabknot.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.fleet.Route;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.Workspace;
import org.baobabknot.placement.ReturnTime;
import org.baobabknot.provider.CallerHead;

/**
 * Whether a request is served, and under which terms. What a process doesn't know may
 * still exist, so it denies only what it can be sure of.
 */
sealed interface Admission {

	/**
	 * Decides on a request.
	 * @param gateway what is known
	 * @param head head of the request
	 * @return the terms, or the answer to the caller
	 */
	static Admission decide(Gateway gateway, CallerHead head) {
		Optional<FleetConfiguration> currentConfiguration = gateway.view().configuration();
		if (currentConfiguration.isEmpty()) {
			return new Refused(ErrorResponse.notRun("no-configuration", "no configuration is known yet",
					gateway.retryAfterMs(ReturnTime.LATER, 0, head.leftMs())));
		}
		FleetConfiguration configuration = currentConfiguration.get();
		Optional<Route> matchingRoute = configuration.route(head.host(), head.path());
		if (matchingRoute.isEmpty()) {
			return deny(gateway, head, HttpResponseStatus.NOT_FOUND, "no-route");
		}
		Route route = matchingRoute.get();
		Optional<Workspace> workspace = Optional.empty();
		if (configuration.keys() && !route.anonymous()) {
			if (!gateway.keysFresh()) {
				gateway.requestConfirmation();
				return new Refused(ErrorResponse.notRun("keys-unconfirmed",
						"the store has not confirmed for " + gateway.viewAgeMs() + " ms which keys hold",
						gateway.retryAfterMs(ReturnTime.ELSEWHERE, 0, head.leftMs())));
			}
			workspace = configuration.workspace(head.key());
			if (workspace.isEmpty()) {
				return deny(gateway, head, HttpResponseStatus.UNAUTHORIZED, "unknown-key");
			}
		}
		Optional<ServiceDefinition> service = configuration.service(route.service(gateway.random().nextDouble()));
		if (service.isEmpty()) {
			return new Refused(ErrorResponse.notRun("no-service", "the route names no service that is known",
					gateway.retryAfterMs(ReturnTime.LATER, 0, head.leftMs())));
		}
		int urgency = workspace.map(Workspace::priority).filter((rank) -> rank >= 0).orElse(route.priority());
		return new Admitted(route, service.get(), workspace.map(Workspace::name).orElse(""),
				commonRegions(route.regions(), workspace.map(Workspace::regions).orElse(Set.of())), urgency);
	}

	private static Refused deny(Gateway gateway, CallerHead head, HttpResponseStatus status, String reason) {
		if (!gateway.configurationCurrent()) {
			gateway.requestConfirmation();
			return new Refused(ErrorResponse.notRun(reason + "-unconfirmed",
					"the configuration was not confirmed for " + gateway.viewAgeMs() + " ms",
					gateway.retryAfterMs(ReturnTime.ELSEWHERE, 0, head.leftMs())));
		}
		return new Refused(ErrorResponse.denied(status, reason,
				"not in configuration " + gateway.view().configuration().map(FleetConfiguration::version).orElse(0L)));
	}

	/**
	 * Joins the regions that two rules allow.
	 * @param first regions of a rule, empty for all
	 * @param second regions of the other rule, empty for all
	 * @return regions that both allow, empty for all; a region that does not exist when
	 * they have none in common
	 */
	static Set<String> commonRegions(Set<String> first, Set<String> second) {
		if (first.isEmpty()) {
			return second;
		}
		if (second.isEmpty()) {
			return first;
		}
		Set<String> common = new HashSet<>(first);
		common.retainAll(second);
		if (common.isEmpty()) {
			common.add("");
		}
		return common;
	}

	/**
	 * The request is served.
	 *
	 * @param route its route
	 * @param service service that runs it
	 * @param workspace name of the workspace that holds its key, empty for none
	 * @param regions regions in which it may be served, empty for all
	 * @param urgency rank, 0 first
	 */
	record Admitted(Route route, ServiceDefinition service, String workspace, Set<String> regions,
			int urgency) implements Admission {
	}

	/**
	 * The request is not served.
	 *
	 * @param error answer to the caller
	 */
	record Refused(ErrorResponse error) implements Admission {
	}

}
