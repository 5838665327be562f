package org.baobabknot.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on 127.0.0.1. They lie below the ports that the system gives to
 * outgoing connections: a port from that range can be taken by a connection before its
 * process is started, or while a process is down for a test. All are held open until the
 * last is found, so that they differ.
 */
final class FreePorts {

	private static final int FIRST = 10_000;

	/**
	 * The range for outgoing connections starts at 32,768 on Linux.
	 */
	private static final int LAST = 32_000;

	private static final int ATTEMPTS = 20_000;

	private FreePorts() {
	}

	static List<Integer> find(int count) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			List<Integer> ports = new ArrayList<>();
			for (int attempt = 0; attempt < ATTEMPTS && ports.size() < count; attempt++) {
				int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
				ServerSocket socket = new ServerSocket();
				sockets.add(socket);
				if (bound(socket, port)) {
					ports.add(port);
				}
			}
			if (ports.size() < count) {
				throw new IOException("fewer than " + count + " free ports from " + FIRST + " to " + LAST);
			}
			return ports;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			sockets.forEach(FreePorts::close);
		}
	}

	private static boolean bound(ServerSocket socket, int port) {
		try {
			socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
			return true;
		}
		catch (IOException ex) {
			return false;
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
