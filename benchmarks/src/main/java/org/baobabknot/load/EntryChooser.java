package org.baobabknot.load;

import java.net.InetSocketAddress;

/**
 * Chooses where a request goes, as the balancer of the platform does.
 */
public interface EntryChooser {

	/**
	 * Chooses a server for the next request.
	 * @return the address
	 */
	InetSocketAddress nextEntry();

	/**
	 * Always chooses one server.
	 * @param address the address
	 * @return a chooser
	 */
	static EntryChooser fixed(InetSocketAddress address) {
		return () -> address;
	}

}
