import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.ServerSocket;

/** Ports that are free on all loopback addresses, the same for all processes of a run. */
final class Ports {

	static final int FRONT = free();

	static final int READY = free();

	static final int PEERS = free();

	static final int METRICS = free();

	static final int ENGINE = free();

	private Ports() {
	}

	private static int free() {
		try (ServerSocket stream = new ServerSocket(0);
				DatagramSocket datagrams = new DatagramSocket(stream.getLocalPort())) {
			return datagrams.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
