package org.baobabknot.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.baobabknot.rules.RuleSet;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ConfigurationView}.
 */
class ConfigurationViewTests {

	private final ConfigurationView view = new ConfigurationView();

	private static Revision revision(long number, String changeId) {
		return new Revision(number, changeId, "Huber", Instant.EPOCH, "", RuleSet.empty());
	}

	// Guards against a delayed message that reverts the rules in force.
	@Test
	void adoptsOnlyHigherRevisions() {
		assertThat(this.view.adopt(revision(2, "a")), instanceOf(AdoptionResult.Adopted.class));
		assertThat(this.view.adopt(revision(1, "b")), is(new AdoptionResult.Outdated(2)));
		assertThat(this.view.adopt(revision(2, "a")), is(new AdoptionResult.Outdated(2)));
		assertThat(this.view.revision(), is(2L));
	}

	// Guards against accepting two different revisions with the same number.
	@Test
	void reportsConflictingRevisions() {
		this.view.adopt(revision(2, "a"));
		assertThat(this.view.adopt(revision(2, "b")), instanceOf(AdoptionResult.Conflicting.class));
		assertThat(this.view.current().changeId(), is("a"));
	}

	// Guards against a deadlock when a listener adopts a revision or another thread
	// reads.
	@Test
	void callsListenersOutsideTheLock() {
		List<Long> adoptedRevisions = new ArrayList<>();
		this.view.addListener((adopted) -> {
			adoptedRevisions.add(adopted.current().number());
			this.view.adopt(revision(7, "z"));
		});
		this.view.adopt(revision(1, "a"));
		assertThat(adoptedRevisions, contains(1L, 7L));
	}

}
