package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link ChunkSchedule}.
 */
class ChunkScheduleTests {

	private static final int CHUNKS = 96;

	private static List<Peer> fleet(int members, int domains) {
		List<Peer> fleet = new ArrayList<>();
		for (int index = 0; index < members; index++) {
			String domain = "d" + index % domains;
			fleet.add(new Peer("10." + index % domains + ".0." + (100 + index), domain, domain));
		}
		return fleet;
	}

	@ParameterizedTest
	@CsvSource({ "8,3", "11,3", "14,3", "16,3", "28,3", "42,4", "5,5", "1,1" })
	void oneMemberFetchesAChunkFromTheOriginAndOneIntoEachDomain(int members, int domains) {
		List<Peer> fleet = fleet(members, domains);
		for (int index = 0; index < CHUNKS; index++) {
			int fromOrigin = 0;
			Map<String, Integer> inward = new HashMap<>();
			for (Peer member : fleet) {
				ChunkSchedule schedule = new ChunkSchedule(member, fleet);
				fromOrigin += (schedule.fetchesFromOrigin(index)) ? 1 : 0;
				inward.merge(member.domain(), (schedule.fetchesIntoDomain(index)) ? 1 : 0, Integer::sum);
			}
			assertThat(fromOrigin, is(1));
			inward.values().forEach((count) -> assertThat(count, is(1)));
		}
	}

	@ParameterizedTest
	@CsvSource({ "8,3", "14,3", "16,3", "28,3", "42,4" })
	void firstSourcesFormATreeFromTheOrigin(int members, int domains) {
		List<Peer> fleet = fleet(members, domains);
		Map<String, Peer> byName = new HashMap<>();
		fleet.forEach((peer) -> byName.put(peer.instance(), peer));
		for (int index = 0; index < CHUNKS; index++) {
			for (Peer member : fleet) {
				Peer current = member;
				int hops = 0;
				while (!new ChunkSchedule(current, fleet).fetchesFromOrigin(index)) {
					current = new ChunkSchedule(current, fleet).sources(index).get(0);
					hops++;
					assertThat("hops of chunk " + index + " to " + member, hops, lessThanOrEqualTo(2));
				}
			}
		}
	}

	@ParameterizedTest
	@CsvSource({ "8,3", "11,3", "14,3", "16,3", "28,3", "42,4" })
	void noMemberSendsMuchMoreThanTheMean(int members, int domains) {
		List<Peer> fleet = fleet(members, domains);
		Map<String, Integer> sent = new HashMap<>();
		int total = 0;
		for (int index = 0; index < CHUNKS; index++) {
			for (Peer member : fleet) {
				ChunkSchedule schedule = new ChunkSchedule(member, fleet);
				if (!schedule.fetchesFromOrigin(index)) {
					sent.merge(schedule.sources(index).get(0).instance(), 1, Integer::sum);
					total++;
				}
			}
		}
		double mean = total / (double) members;
		int maxSent = sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		assertThat("largest number of chunks sent, relative to the mean", maxSent / mean, lessThanOrEqualTo(1.4));
	}

	@Test
	void aMemberThatIsNotListedYetIncludesItself() {
		Peer self = new Peer("10.0.0.1", "d", "d");
		assertThat(new ChunkSchedule(self, List.of()).fetchesFromOrigin(3), is(true));
		assertThat(new ChunkSchedule(self, List.of()).sources(3), is(List.of()));
	}

}
