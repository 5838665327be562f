package org.baobabknot.rules;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RulesReader}, {@link RuleSet} and {@link RulesDifference}.
 */
class RulesReaderTests {

	private static final String DIGEST = "0123456789abcdef".repeat(4);

	private static final String VALID = """
			# Rules of Landshut
			model translation v7 sha256:%s out=2   # Huber: new menu words

			workspace inns translation,cards share=3 priority=high # Huber: largest customer
			domain schwaben out # Maier: power works on Tuesday
			once cards POST /orders # Maier: printed once
			""".formatted(DIGEST);

	private static final KnownNames KNOWN = new KnownNames(Set.of("translation", "cards"), Set.of("inns"),
			Set.of("oberbayern", "niederbayern", "schwaben"));

	private static RuleSet accepted(String text) {
		RulesResult result = new RulesReader().read(text);
		assertThat(result.toString(), result, instanceOf(RulesResult.Accepted.class));
		return ((RulesResult.Accepted) result).rules();
	}

	private static List<RuleError> rejected(String text) {
		RulesResult result = new RulesReader().read(text, KNOWN);
		assertThat(result.toString(), result, instanceOf(RulesResult.Rejected.class));
		return ((RulesResult.Rejected) result).errors();
	}

	private static RuleError singleError(String text) {
		List<RuleError> errors = rejected(text);
		assertThat(errors.toString(), errors, hasSize(1));
		return errors.get(0);
	}

	@Nested
	class Queries {

		// Guards against a rule that is parsed but has no effect.
		@Test
		void queriesReflectTheRules() {
			RuleSet rules = accepted(VALID);
			assertThat(rules.modelFor("translation").orElseThrow().digest(), is(DIGEST));
			assertThat(rules.maxReplicasOut("translation"), is(2));
			assertThat(rules.servesWorkspace("cards", "inns"), is(true));
			assertThat(rules.servesWorkspace("cards", "canteens"), is(false));
			assertThat(rules.inService("schwaben"), is(false));
			assertThat(rules.inService("oberbayern"), is(true));
			assertThat(rules.share("inns"), is(3));
			assertThat(rules.priorityCeiling("inns"), is(Priority.HIGH));
			assertThat(rules.priorityCeiling("canteens"), is(Priority.NORMAL));
		}

		// Guards against a non-idempotent request that is sent twice because its path is
		// written in another form.
		@Test
		void onceRulesMatchEveryFormOfAPath() {
			RuleSet rules = accepted(VALID);
			for (String path : List.of("/orders", "/orders/7?x=1", "//orders", "/a/../orders", "/%6Frders")) {
				assertThat(path, rules.idempotent("cards", "POST", path), is(false));
			}
			assertThat(rules.idempotent("cards", "GET", "/orders"), is(true));
			assertThat(rules.idempotent("translation", "POST", "/orders"), is(true));
			assertThat(rules.idempotent("cards", "POST", "/status"), is(true));
		}

	}

	@Nested
	class Faults {

		// Guards against a rule for which nobody is responsible.
		@Test
		void aMissingCommentIsReported() {
			assertThat(singleError("domain schwaben out").problem(), containsString("no comment"));
			assertThat(singleError("domain schwaben out # ").column(), is(22));
		}

		// Guards against errors without the position and the correct word.
		@Test
		void errorsNameThePositionAndTheNearestName() {
			assertThat(singleError("\n  modle translation v1 # x: y"), is(new RuleError(2, 3, "unknown verb \"modle\"",
					"one of model, workspace, domain, once", Optional.of("model"))));
			assertThat(singleError("domain schwabne out # x: y").nearest(), is(Optional.of("schwaben")));
			assertThat(singleError("domain schwaben uot # x: y").nearest(), is(Optional.of("out")));
			RuleError service = singleError("workspace inns cards,tranlation # x: y");
			assertThat(service.column(), is(22));
			assertThat(service.nearest(), is(Optional.of("translation")));
			assertThat(singleError("workspace inns cards shares=2 # x: y").nearest(), is(Optional.of("share")));
			assertThat(singleError("workspace inns cards priority=hihg # x: y").message(),
					is("line 1, column 31: unknown priority \"hihg\"; expected one of low, normal, high;"
							+ " did you mean \"high\"?"));
		}

		// Guards against a rule whose effect depends on the order of lines.
		@Test
		void duplicatesAndContradictionsAreReported() {
			assertThat(singleError("domain schwaben out # a: b\ndomain schwaben out # c: d").problem(),
					is("\"domain schwaben\" repeats line 1"));
			assertThat(singleError("domain schwaben out # a: b\ndomain schwaben in # c: d").problem(),
					is("\"domain schwaben\" contradicts line 1"));
		}

		// Guards against accepting incomplete rules.
		@Test
		void malformedWordsAreReported() {
			for (String line : List.of("model translation v1 sha256:12", "model translation v1", "model",
					"model translation v1 sha256:" + DIGEST + " out=0", "once cards post /orders",
					"once cards POST orders", "workspace inns cards,", "workspace inns cards,cards",
					"domain schwaben out now", "workspace inns cards share=x", "workspace a/b cards",
					"workspace inns cards share=1 share=2", "domain schwaben out share=1")) {
				singleError(line + " # x: y");
			}
		}

		// Guards against reporting only the first error of a text.
		@Test
		void allErrorsAreReported() {
			assertThat(rejected("domain x out # a: b\nfoo # a: b\ndomain schwaben out"), hasSize(3));
		}

	}

	@Nested
	class Differences {

		// Guards against a change that the operator does not see before it is accepted.
		@Test
		void differenceNamesAddedRemovedAndChangedRules() {
			RuleSet after = accepted("domain schwaben in # Maier: done\ndomain oberbayern out # Maier: test\n"
					+ "once cards POST /orders # other: comment\n");
			RulesDifference difference = RulesDifference.between(accepted(VALID), after);
			assertThat(difference.added(), hasSize(1));
			assertThat(difference.removed(), hasSize(2));
			assertThat(difference.changed(), hasSize(1));
			assertThat(difference.lines(), hasSize(5));
			assertThat(RulesDifference.between(after, after).isEmpty(), is(true));
		}

	}

}
