package org.baobabknot.standin.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.members.ListedMember;
import org.baobabknot.members.MemberJson;
import org.baobabknot.standin.BodySink;
import org.baobabknot.standin.Call;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the membership list. Fault {@code lag} returns the list as it was
 * {@code ms} ago. {@code PUT
 * /v1/routes/INSTANCE} with an object that maps failure domains of viewers to addresses
 * replaces the address of the instance that these viewers receive, so that they connect
 * through a link. Registrations leave routes unchanged.
 */
public final class MembersStandin implements Standin {

	private final List<Change> changes = new ArrayList<>();

	private final Map<String, ListedMember> currentMembers = new LinkedHashMap<>();

	private final Map<String, Map<String, Address>> routes = new HashMap<>();

	private final long lagMillis;

	private long polls;

	private @Nullable StandinServer server;

	/**
	 * Creates an empty list.
	 * @param lagMillis age in milliseconds of the returned list while no {@code lag}
	 * fault is active
	 */
	public MembersStandin(long lagMillis) {
		this.lagMillis = lagMillis;
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("lag");
	}

	@Override
	public void attach(StandinServer server) {
		this.server = server;
	}

	@Override
	public BodySink handleCall(Call call) {
		return BodySink.collecting((body) -> {
			List<String> path = call.segments();
			if (path.size() < 2 || !path.get(0).equals("v1")) {
				call.respondWithError(404, "no such path");
			}
			else if (path.get(1).equals("routes") && path.size() == 3) {
				setRoutes(path.get(2), JsonBody.parse(body));
				call.respond(200, JsonBody.object());
			}
			else if (path.get(1).equals("members")) {
				handleMembersCall(call, path, body);
			}
			else {
				call.respondWithError(404, "no such path");
			}
		});
	}

	private void handleMembersCall(Call call, List<String> path, byte[] body) {
		if (path.size() == 2 && call.method().equals("GET")) {
			this.polls++;
			call.respond(200, listMembers(call.parameter("viewer").orElse(""), call.longParameter("above", 0)));
		}
		else if (path.size() == 3 && call.method().equals("PUT")) {
			ListedMember member = MemberJson.read(JsonBody.parse(body));
			if (!member.instance().equals(path.get(2))) {
				throw new IllegalArgumentException("instance: differs from the path");
			}
			put(member);
			call.respond(200, JsonBody.object().put("version", this.changes.size()));
		}
		else if (path.size() == 4 && path.get(3).equals("leaving")) {
			changeState(call, path.get(2), ListedMember.State.LEAVING);
		}
		else if (path.size() == 3 && call.method().equals("DELETE")) {
			changeState(call, path.get(2), ListedMember.State.GONE);
		}
		else {
			call.respondWithError(404, "no such path");
		}
	}

	private void changeState(Call call, String instance, ListedMember.State state) {
		ListedMember member = this.currentMembers.get(instance);
		if (member == null) {
			call.respondWithError(404, "no such instance");
			return;
		}
		put(new ListedMember(member.instance(), member.role(), member.failureDomain(), member.region(), member.host(),
				member.port(), member.service(), state));
		call.respond(200, JsonBody.object().put("version", this.changes.size()));
	}

	private void put(ListedMember member) {
		if (member.equals(this.currentMembers.get(member.instance()))) {
			return;
		}
		if (member.state() == ListedMember.State.GONE) {
			this.currentMembers.remove(member.instance());
		}
		else {
			this.currentMembers.put(member.instance(), member);
		}
		this.changes.add(new Change(System.nanoTime(), member));
	}

	private void setRoutes(String instance, ObjectNode viewers) {
		Map<String, Address> addresses = new HashMap<>();
		viewers.properties()
			.forEach((viewer) -> addresses.put(viewer.getKey(), new Address(
					viewer.getValue().path("host").asText("127.0.0.1"), viewer.getValue().path("port").asInt())));
		this.routes.put(instance, addresses);
		ListedMember member = this.currentMembers.get(instance);
		if (member != null) {
			this.changes.add(new Change(System.nanoTime(), member));
		}
	}

	private ObjectNode listMembers(String viewer, long aboveVersion) {
		int visible = countVisibleChanges();
		boolean full = aboveVersion <= 0 || aboveVersion > this.changes.size();
		Map<String, ListedMember> members = new LinkedHashMap<>();
		for (Change change : this.changes.subList(full ? 0 : (int) Math.min(aboveVersion, visible), visible)) {
			members.remove(change.member().instance());
			members.put(change.member().instance(), change.member());
		}
		if (full) {
			members.values().removeIf((member) -> member.state() == ListedMember.State.GONE);
		}
		ObjectNode node = JsonBody.object().put("version", visible).put("full", full);
		ArrayNode list = node.putArray("members");
		members.values().forEach((member) -> list.add(MemberJson.write(withAddressFor(viewer, member))));
		return node;
	}

	private int countVisibleChanges() {
		long lag = this.lagMillis;
		if (this.server != null) {
			lag = this.server.faults().find("lag").map((fault) -> fault.path("ms").asLong()).orElse(lag);
		}
		long latestVisibleNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lag);
		int visible = this.changes.size();
		while (visible > 0 && this.changes.get(visible - 1).changeNanos() - latestVisibleNanos > 0) {
			visible--;
		}
		return visible;
	}

	private ListedMember withAddressFor(String viewer, ListedMember member) {
		Address address = this.routes.getOrDefault(member.instance(), Map.of()).get(viewer);
		if (address == null) {
			return member;
		}
		return new ListedMember(member.instance(), member.role(), member.failureDomain(), member.region(),
				address.host(), address.port(), member.service(), member.state());
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = JsonBody.object().put("polls", this.polls).put("version", this.changes.size());
		ArrayNode list = node.putArray("members");
		this.currentMembers.values().forEach((member) -> list.add((JsonNode) MemberJson.write(member)));
		return node;
	}

	private record Change(long changeNanos, ListedMember member) {

	}

	private record Address(String host, int port) {

	}

}
