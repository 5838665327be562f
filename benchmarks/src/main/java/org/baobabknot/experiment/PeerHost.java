package org.baobabknot.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import org.baobabknot.agent.AgentRole;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.daemon.Role;
import org.baobabknot.entry.EntryRole;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.settings.SettingsReader;
import org.baobabknot.settings.SettingsResult;

/**
 * Main class of a process that hosts many entries and agents. They are the peers of the
 * measured entry and agent, which run as separate processes.
 */
public final class PeerHost {

	private PeerHost() {
	}

	/**
	 * Starts the peers and keeps them running until the process is terminated.
	 * @param args the settings files, one per peer
	 * @throws InterruptedException when interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		try {
			CompletableFuture<?>[] startups = new CompletableFuture<?>[args.length];
			for (int i = 0; i < args.length; i++) {
				startups[i] = new Daemon(readSettings(Path.of(args[i])), createRole(Path.of(args[i]))).start();
			}
			CompletableFuture.allOf(startups).join();
			System.out.println("started " + args.length);
			Thread.currentThread().join();
		}
		catch (IOException | CompletionException ex) {
			System.err.println("cannot start a peer: " + ex);
			System.exit(1);
		}
	}

	private static Settings readSettings(Path file) throws IOException {
		if (SettingsReader.read(file) instanceof SettingsResult.Accepted accepted) {
			return accepted.settings();
		}
		throw new IOException(file + " is not a valid settings file");
	}

	private static Function<ProcessContext, Role> createRole(Path file) throws IOException {
		return (readSettings(file).role() == ProcessRole.ENTRY) ? EntryRole::new : AgentRole::new;
	}

}
