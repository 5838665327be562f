package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The path of one gateway to the store. While it is cut, no byte passes and no connection ends. */
final class StoreLink implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));

	private final int target;

	private volatile boolean cut;

	StoreLink(Store store) throws IOException {
		this.target = Integer.parseInt(store.address().split(":")[1]);
		Store.daemon(() -> {
			while (!this.server.isClosed()) {
				try {
					Socket in = this.server.accept();
					Socket out = new Socket("127.0.0.1", this.target);
					in.setTcpNoDelay(true);
					out.setTcpNoDelay(true);
					Store.daemon(() -> pump(in, out)).start();
					Store.daemon(() -> pump(out, in)).start();
				}
				catch (IOException ex) {
					return;
				}
			}
		}).start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	void cut(boolean enabled) {
		Record.line("the path of one gateway to the store is %s", (enabled) ? "cut" : "back");
		this.cut = enabled;
	}

	private void pump(Socket from, Socket to) {
		byte[] buffer = new byte[65_536];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				while (this.cut) {
					Thread.sleep(5);
				}
				out.write(buffer, 0, count);
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// One end has closed the connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
