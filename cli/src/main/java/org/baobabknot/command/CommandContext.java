package org.baobabknot.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.origin.HttpWeightOrigin;
import org.baobabknot.origin.WeightOrigin;
import org.baobabknot.store.HttpConfigurationStore;
import org.jspecify.annotations.Nullable;

/**
 * Gives the commands their settings, connections and progress output. Settings are read
 * and connections are opened on first use, so that commands that need neither run without
 * a settings file.
 */
final class CommandContext implements AutoCloseable {

	// Fits a stored value of 1 MB, encoded in Base64 within JSON.
	private static final int MAX_RESPONSE_BYTES = 2 << 20;

	private final Path settingsFile;

	private final PrintStream progress;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private @Nullable ToolSettings settings;

	private @Nullable FleetClient fleet;

	CommandContext(Path settingsFile, PrintStream progress) {
		this.settingsFile = settingsFile;
		this.progress = progress;
	}

	boolean hasSettings() {
		return Files.exists(this.settingsFile);
	}

	ToolSettings settings() throws CommandFailure {
		if (this.settings == null) {
			this.settings = ToolSettings.read(this.settingsFile);
		}
		return this.settings;
	}

	RulesStore rulesStore() throws CommandFailure {
		HttpClient client = httpClient("store", settings().store());
		return new RulesStore(new HttpConfigurationStore(client, timeout()), client.peer());
	}

	WeightOrigin origin() throws CommandFailure {
		return new HttpWeightOrigin(httpClient("origin", settings().origin()), timeout());
	}

	FleetClient fleet() throws CommandFailure {
		if (this.fleet == null) {
			this.fleet = FleetClient.create(settings(), this.group);
		}
		return this.fleet;
	}

	private Duration timeout() throws CommandFailure {
		return Duration.ofMillis(settings().timeoutMillis());
	}

	private HttpClient httpClient(String name, String url) throws CommandFailure {
		URI uri = URI.create(url);
		if (uri.getHost() == null || uri.getPort() < 0) {
			throw new CommandFailure(ExitStatus.USAGE,
					"settings: " + name + ": expected a URL with host and port, found \"" + url + "\"");
		}
		return new HttpClient(this.group, uri.getHost(), uri.getPort(),
				HttpClientSettings.defaults().withMaxBodyBytes(MAX_RESPONSE_BYTES), ConnectionHook.NONE);
	}

	void reportProgress(String line) {
		this.progress.println(line);
	}

	/**
	 * Reads a rules file.
	 * @param file the file as given on the command line
	 * @return its text
	 * @throws CommandFailure when it cannot be read
	 */
	static String readFile(String file) throws CommandFailure {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new CommandFailure(ExitStatus.USAGE, "cannot read " + file + ": " + ex.getMessage());
		}
	}

	/**
	 * Waits for a result without a timeout of its own: the adapters and the fleet client
	 * limit the time of each call.
	 * @param future completed within the timeout of its call
	 * @param <T> the type of the result
	 * @return the result
	 */
	static <T> T await(CompletableFuture<T> future) {
		try {
			return future.get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	static void sleep(long durationMs) {
		try {
			TimeUnit.MILLISECONDS.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	@Override
	public void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
		this.group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
	}

}
