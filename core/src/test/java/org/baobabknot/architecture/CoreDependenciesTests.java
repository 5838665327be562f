package org.baobabknot.architecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Checks that the module {@code core} contains only decision logic, without sockets,
 * threads or clocks.
 */
class CoreDependenciesTests {

	private static final JavaClasses CORE_CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.baobabknot");

	// Guards against decisions that cannot be tested with a simulated clock.
	@Test
	void readsNoClock() {
		ArchRule rule = ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.time.Clock");
		rule.check(CORE_CLASSES);
	}

	// Guards against decision logic that depends on a network or starts threads.
	@Test
	void usesNoSocketsThreadsOrTransport() {
		ArchRule rule = ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.netty..", "java.net..", "java.nio.channels..", "com.google.protobuf..",
					"com.fasterxml..")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.Thread")
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching("java\\.util\\.concurrent\\.(.*Executor.*|Timer)");
		rule.check(CORE_CLASSES);
	}

}
