package org.baobabknot.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.fleet.Route;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.Workspace;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.provider.CallerRequestHead;

/**
 * Decision whether a request is served, with its route, service and limits. A route or
 * key that is missing here may have been added meanwhile, so it is only denied while the
 * configuration is certainly the one in force.
 */
sealed interface RequestAdmission {

	/**
	 * Decides whether a request is served.
	 * @param gateway source of the configuration
	 * @param head head of the request
	 * @return the admission, or the refusal with the error response
	 */
	static RequestAdmission decide(Gateway gateway, CallerRequestHead head) {
		Optional<FleetConfiguration> currentConfiguration = gateway.view().configuration();
		if (currentConfiguration.isEmpty()) {
			return new Refused(ErrorResponse.notRun("no-configuration", "no configuration is known yet",
					gateway.retryAfterMs(RetryAfter.LATER, 0, head.timeoutMs())));
		}
		FleetConfiguration configuration = currentConfiguration.get();
		Optional<Route> matchingRoute = configuration.route(head.host(), head.path());
		if (matchingRoute.isEmpty()) {
			return deny(gateway, head, HttpResponseStatus.NOT_FOUND, "no-route");
		}
		Route route = matchingRoute.get();
		Optional<Workspace> workspace = Optional.empty();
		if (configuration.keysRequired() && !route.anonymous()) {
			if (!gateway.keysFresh()) {
				gateway.requestConfirmation();
				return new Refused(ErrorResponse.notRun("keys-unconfirmed",
						"the store has not confirmed for " + gateway.viewAgeMs() + " ms which keys hold",
						gateway.retryAfterMs(RetryAfter.ELSEWHERE, 0, head.timeoutMs())));
			}
			workspace = configuration.workspace(head.apiKey());
			if (workspace.isEmpty()) {
				return deny(gateway, head, HttpResponseStatus.UNAUTHORIZED, "unknown-key");
			}
		}
		Optional<ServiceDefinition> service = configuration.service(route.service(gateway.random().nextDouble()));
		if (service.isEmpty()) {
			return new Refused(ErrorResponse.notRun("no-service", "the route names no service that is known",
					gateway.retryAfterMs(RetryAfter.LATER, 0, head.timeoutMs())));
		}
		int urgency = workspace.map(Workspace::priority).filter((rank) -> rank >= 0).orElse(route.priority());
		return new Admitted(route, service.get(), workspace.map(Workspace::name).orElse(""),
				commonRegions(route.regions(), workspace.map(Workspace::regions).orElse(Set.of())), urgency);
	}

	private static Refused deny(Gateway gateway, CallerRequestHead head, HttpResponseStatus status, String reason) {
		if (!gateway.configurationCurrent()) {
			gateway.requestConfirmation();
			return new Refused(ErrorResponse.notRun(reason + "-unconfirmed",
					"the configuration was not confirmed for " + gateway.viewAgeMs() + " ms",
					gateway.retryAfterMs(RetryAfter.ELSEWHERE, 0, head.timeoutMs())));
		}
		return new Refused(ErrorResponse.denied(status, reason,
				"not in configuration " + gateway.view().configuration().map(FleetConfiguration::version).orElse(0L)));
	}

	/**
	 * Intersects the regions that two rules allow.
	 * @param first regions of one rule, empty for all
	 * @param second regions of the other rule, empty for all
	 * @return regions that both allow, empty for all; if they have none in common, a set
	 * with the empty name, which no region has
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
	 * @param route matching route
	 * @param service service that runs the request
	 * @param workspace name of the workspace that owns the key, empty for none
	 * @param regions regions in which the request may run, empty for all
	 * @param urgency rank of the request, 0 is the most urgent
	 */
	record Admitted(Route route, ServiceDefinition service, String workspace, Set<String> regions,
			int urgency) implements RequestAdmission {
	}

	/**
	 * The request is not served.
	 *
	 * @param error response to the caller
	 */
	record Refused(ErrorResponse error) implements RequestAdmission {
	}

}
