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
		Optional<FleetConfiguration> known = gateway.view().configuration();
		if (known.isEmpty()) {
			return new Refused(Rejection.notRun("no-configuration", "no configuration is known yet",
					gateway.returnMs(RetryAfter.LATER, 0, head.leftMs())));
		}
		FleetConfiguration configuration = known.get();
		Optional<Route> found = configuration.route(head.host(), head.path());
		if (found.isEmpty()) {
			return denied(gateway, head, HttpResponseStatus.NOT_FOUND, "no-route");
		}
		Route route = found.get();
		Optional<Workspace> holder = Optional.empty();
		if (configuration.keysRequired() && !route.anonymous()) {
			if (!gateway.keysKnown()) {
				gateway.confirm();
				return new Refused(Rejection.notRun("keys-unconfirmed",
						"the store has not confirmed for " + gateway.ageMs() + " ms which keys hold",
						gateway.returnMs(RetryAfter.ELSEWHERE, 0, head.leftMs())));
			}
			holder = configuration.workspace(head.key());
			if (holder.isEmpty()) {
				return denied(gateway, head, HttpResponseStatus.UNAUTHORIZED, "unknown-key");
			}
		}
		Optional<ServiceDefinition> service = configuration.service(route.service(gateway.random().nextDouble()));
		if (service.isEmpty()) {
			return new Refused(Rejection.notRun("no-service", "the route names no service that is known",
					gateway.returnMs(RetryAfter.LATER, 0, head.leftMs())));
		}
		int urgency = holder.map(Workspace::priority).filter((rank) -> rank >= 0).orElse(route.priority());
		return new Admitted(route, service.get(), holder.map(Workspace::name).orElse(""),
				regions(route.regions(), holder.map(Workspace::regions).orElse(Set.of())), urgency);
	}

	private static Refused denied(Gateway gateway, CallerHead head, HttpResponseStatus status, String reason) {
		if (!gateway.current()) {
			gateway.confirm();
			return new Refused(Rejection.notRun(reason + "-unconfirmed",
					"the configuration was not confirmed for " + gateway.ageMs() + " ms",
					gateway.returnMs(RetryAfter.ELSEWHERE, 0, head.leftMs())));
		}
		return new Refused(Rejection.denied(status, reason,
				"not in configuration " + gateway.view().configuration().map(FleetConfiguration::version).orElse(0L)));
	}

	/**
	 * Joins the regions that two rules allow.
	 * @param one regions of a rule, empty for all
	 * @param other regions of the other rule, empty for all
	 * @return regions that both allow, empty for all; a region that does not exist when
	 * they have none in common
	 */
	static Set<String> regions(Set<String> one, Set<String> other) {
		if (one.isEmpty()) {
			return other;
		}
		if (other.isEmpty()) {
			return one;
		}
		Set<String> both = new HashSet<>(one);
		both.retainAll(other);
		if (both.isEmpty()) {
			both.add("");
		}
		return both;
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
	 * @param rejection answer to the caller
	 */
	record Refused(Rejection rejection) implements Admission {
	}

}
