package org.baobabknot.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Settings of the tool, read from a JSON file.
 *
 * @param store URL of the platform's store
 * @param origin URL of the origin, used by {@code manifest} only
 * @param processes process addresses of entries as {@code host:port}; a few suffice,
 * since their member list has the others
 * @param tokenFile file with the operator token
 * @param tls files for mutual TLS; absent for plain TCP
 * @param who name written into the history of the rules
 * @param timeoutMillis longest time for one call, in milliseconds
 */
record ToolSettings(String store, String origin, List<String> processes, String tokenFile, @Nullable TlsFiles tls,
		String who, int timeoutMillis) {

	private static final int DEFAULT_TIMEOUT_MS = 2_000;

	ToolSettings(@JsonProperty("store") @Nullable String store, @JsonProperty("origin") @Nullable String origin,
			@JsonProperty("processes") @Nullable List<String> processes,
			@JsonProperty("tokenFile") @Nullable String tokenFile, @JsonProperty("tls") @Nullable TlsFiles tls,
			@JsonProperty("who") @Nullable String who, @JsonProperty("timeoutMillis") int timeoutMillis) {
		this.store = (store != null) ? store : "";
		this.origin = (origin != null) ? origin : "";
		this.processes = (processes != null) ? List.copyOf(processes) : List.of();
		this.tokenFile = (tokenFile != null) ? tokenFile : "";
		this.tls = tls;
		this.who = (who != null) ? who : System.getProperty("user.name", "operator");
		this.timeoutMillis = (timeoutMillis > 0) ? timeoutMillis : DEFAULT_TIMEOUT_MS;
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings
	 * @throws CommandFailure when the file is missing or malformed
	 */
	static ToolSettings read(Path file) throws CommandFailure {
		try {
			return new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
				.readValue(Files.readAllBytes(file), ToolSettings.class);
		}
		catch (JsonProcessingException ex) {
			throw new CommandFailure(ExitStatus.USAGE, "settings " + file + ": " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new CommandFailure(ExitStatus.USAGE, "cannot read settings " + file + ": " + ex.getMessage());
		}
	}

	/**
	 * Returns the process addresses.
	 * @return host and port of each
	 * @throws CommandFailure when an address is malformed
	 */
	List<InetSocketAddress> addresses() throws CommandFailure {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (String process : this.processes) {
			int colon = process.lastIndexOf(':');
			try {
				addresses.add(new InetSocketAddress(process.substring(0, colon),
						Integer.parseInt(process.substring(colon + 1))));
			}
			catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
				throw new CommandFailure(ExitStatus.USAGE,
						"settings: processes: \"" + process + "\" is not of the form host:port");
			}
		}
		return addresses;
	}

	/**
	 * Reads the operator token.
	 * @return the token, empty without a token file
	 * @throws CommandFailure when the file cannot be read
	 */
	String token() throws CommandFailure {
		if (this.tokenFile.isEmpty()) {
			return "";
		}
		try {
			return Files.readString(Path.of(this.tokenFile)).strip();
		}
		catch (IOException ex) {
			throw new CommandFailure(ExitStatus.USAGE, "cannot read token file " + this.tokenFile);
		}
	}

	/**
	 * PEM files for mutual TLS.
	 *
	 * @param certificate certificate chain of the operator
	 * @param key private key in PKCS#8 form
	 * @param authorities certificates of the authorities to trust
	 */
	record TlsFiles(@JsonProperty("certificate") String certificate, @JsonProperty("key") String key,
			@JsonProperty("authorities") String authorities) {
	}

}
