package org.baobabknot.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Immutable member list, indexed for the lookups of routing.
 */
public final class MemberSnapshot {

	private final long version;

	private final Map<String, Member> byInstance;

	private final List<Member> members;

	private final Map<Group, List<Member>> agentsByGroup = new HashMap<>();

	private final Map<String, List<Member>> agentsByService = new HashMap<>();

	private final Map<String, List<Member>> entriesByDomain = new HashMap<>();

	private final List<String> domains;

	private MemberSnapshot(long version, Map<String, Member> members) {
		this.version = version;
		this.byInstance = Collections.unmodifiableMap(new LinkedHashMap<>(members));
		this.members = List.copyOf(members.values());
		for (Member member : this.members) {
			if (member.role() == MemberRole.ENTRY) {
				add(this.entriesByDomain, member.failureDomain(), member);
			}
			else {
				add(this.agentsByGroup, new Group(member.service(), member.failureDomain()), member);
				add(this.agentsByService, member.service(), member);
			}
		}
		this.domains = this.members.stream().map(Member::failureDomain).distinct().sorted().toList();
	}

	private static <K> void add(Map<K, List<Member>> map, K key, Member member) {
		map.computeIfAbsent(key, (absent) -> new ArrayList<>()).add(member);
	}

	static MemberSnapshot of(long version, Map<String, Member> members) {
		return new MemberSnapshot(version, members);
	}

	/**
	 * Returns the version of the list.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns all members by instance.
	 * @return an unmodifiable map in order of instance
	 */
	public Map<String, Member> byInstance() {
		return this.byInstance;
	}

	/**
	 * Returns live and leaving members.
	 * @return members in order of instance
	 */
	public List<Member> members() {
		return this.members;
	}

	/**
	 * Returns the failure domains that have members.
	 * @return names in alphabetical order
	 */
	public List<String> domains() {
		return this.domains;
	}

	/**
	 * Returns a member.
	 * @param instance its instance
	 * @return the member, or nothing when it is not on the list
	 */
	public Optional<Member> member(String instance) {
		return Optional.ofNullable(this.byInstance.get(instance));
	}

	/**
	 * Returns the agents of a service in a failure domain, including leaving ones.
	 * @param service the service
	 * @param domain the failure domain
	 * @return members in order of instance
	 */
	public List<Member> agents(String service, String domain) {
		return unmodifiable(this.agentsByGroup.get(new Group(service, domain)));
	}

	/**
	 * Returns the agents of a service in all failure domains, including leaving ones.
	 * @param service the service
	 * @return members in order of instance
	 */
	public List<Member> agents(String service) {
		return unmodifiable(this.agentsByService.get(service));
	}

	/**
	 * Returns the entries of a failure domain, including leaving ones.
	 * @param domain the failure domain
	 * @return members in order of instance
	 */
	public List<Member> entries(String domain) {
		return unmodifiable(this.entriesByDomain.get(domain));
	}

	private static List<Member> unmodifiable(@Nullable List<Member> members) {
		return (members != null) ? Collections.unmodifiableList(members) : List.of();
	}

	private record Group(String service, String domain) {
	}

}
