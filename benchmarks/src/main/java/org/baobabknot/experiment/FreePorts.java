package org.baobabknot.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on 127.0.0.1. They lie below the range for outgoing connections,
 * because a connection could take a port of that range before its process is started, or
 * while a process is down for a test. Ports are allocated in blocks. The first port of a
 * block stays bound until this program ends, so that concurrent runs never use the same
 * block.
 */
public final class FreePorts {

	private static final int MIN_PORT = 10_000;

	/**
	 * The range for outgoing connections starts at 32,768 on Linux.
	 */
	private static final int MAX_PORT = 32_000;

	private static final int BLOCK_SIZE = 220;

	private static final int MAX_ATTEMPTS = 500;

	private static final List<ServerSocket> GUARDS = new ArrayList<>();

	private FreePorts() {
	}

	/**
	 * Finds free ports.
	 * @param count number of ports
	 * @return the ports
	 */
	public static synchronized List<Integer> find(int count) {
		List<Integer> ports = new ArrayList<>();
		while (ports.size() < count) {
			ports.addAll(findInBlock(Math.min(count - ports.size(), BLOCK_SIZE - 1)));
		}
		return ports;
	}

	private static List<Integer> findInBlock(int count) {
		for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			int guardPort = MIN_PORT
					+ BLOCK_SIZE * ThreadLocalRandom.current().nextInt((MAX_PORT - MIN_PORT) / BLOCK_SIZE);
			Optional<ServerSocket> guard = bind(guardPort);
			if (guard.isPresent()) {
				List<Integer> ports = freeAfter(guardPort, count);
				if (ports.size() == count) {
					GUARDS.add(guard.get());
					return ports;
				}
				close(guard.get());
			}
		}
		throw new IllegalStateException("no " + count + " free ports from " + MIN_PORT + " to " + MAX_PORT);
	}

	private static List<Integer> freeAfter(int guardPort, int count) {
		List<Integer> ports = new ArrayList<>();
		for (int port = guardPort + 1; port < guardPort + BLOCK_SIZE && ports.size() < count; port++) {
			Optional<ServerSocket> socket = bind(port);
			if (socket.isPresent()) {
				ports.add(port);
				close(socket.get());
			}
		}
		return ports;
	}

	private static Optional<ServerSocket> bind(int port) {
		try {
			ServerSocket socket = new ServerSocket();
			try {
				socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
				return Optional.of(socket);
			}
			catch (IOException ex) {
				socket.close();
				return Optional.empty();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void close(ServerSocket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
