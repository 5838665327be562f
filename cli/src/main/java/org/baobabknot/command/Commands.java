package org.baobabknot.command;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The commands with their arguments and one-line help.
 */
enum Commands {

	CHECK("FILE", "checks a rules file", CheckCommand::new),

	DIFF("FILE", "shows what a rules file would change", DiffCommand::new),

	APPLY("FILE", "puts a rules file in force", ApplyCommand::new),

	SHOW("", "shows the rules in force, where, and which process lags", ShowCommand::new),

	HISTORY("", "lists the last changes of the rules", HistoryCommand::new),

	DRAIN("INSTANCE", "takes one instance out of service until it is replaced", DrainCommand::new),

	REPLICAS("[SERVICE]", "shows replicas by version and the progress of a new model", ReplicasCommand::new),

	TIMELINE("", "lists the state changes of all processes in order", TimelineCommand::new),

	STATUS("", "shows the state of all processes", StatusCommand::new),

	KEYS("DIRECTORY INSTANCE...", "creates an authority and keys for mutual TLS", KeysCommand::new),

	MANIFEST("SERVICE VERSION", "prints the digest of a published version", ManifestCommand::new);

	private final String arguments;

	private final String summary;

	private final Supplier<Command> factory;

	Commands(String arguments, String summary, Supplier<Command> factory) {
		this.arguments = arguments;
		this.summary = summary;
		this.factory = factory;
	}

	String commandName() {
		return name().toLowerCase(Locale.ROOT);
	}

	String usage() {
		return (commandName() + " " + this.arguments).strip();
	}

	String summary() {
		return this.summary;
	}

	Command create() {
		return this.factory.get();
	}

	static Optional<Commands> byName(String name) {
		return Arrays.stream(values()).filter((candidate) -> candidate.commandName().equals(name)).findFirst();
	}

}
