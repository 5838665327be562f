package org.baobabknot.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports on 127.0.0.1. All are held open until the last is found, so that they
 * differ; another program could take one before it is used, which shows as an error at
 * the start of the process.
 */
final class FreePorts {

	private FreePorts() {
	}

	static List<Integer> find(int count) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			List<Integer> ports = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				ServerSocket socket = new ServerSocket();
				sockets.add(socket);
				socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
				ports.add(socket.getLocalPort());
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

	private static void close(ServerSocket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
