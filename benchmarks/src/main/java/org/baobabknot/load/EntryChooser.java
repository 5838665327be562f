package org.baobabknot.load;

import java.net.InetSocketAddress;

/**
 * Chooses the entry for a request, as the load balancer of the platform does.
 */
public interface EntryChooser {

	/**
	 * Chooses an entry for the next request.
	 * @return the address of the entry
	 */
	InetSocketAddress nextEntry();

	/**
	 * Creates a chooser that always returns the same address.
	 * @param address the address
	 * @return a chooser
	 */
	static EntryChooser fixed(InetSocketAddress address) {
		return () -> address;
	}

}
