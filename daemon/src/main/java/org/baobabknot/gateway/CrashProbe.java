package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;

import org.baobabknot.httpclient.ConnectOutcome;
import org.baobabknot.httpclient.HttpClient;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether a target whose connection was lost has crashed. A crashed target
 * refuses connections, one that reset a single connection accepts them, and one that is
 * frozen or cut off does not respond. Confined to one event loop.
 */
final class CrashProbe {

	private final HttpClient client;

	private @Nullable CompletableFuture<Boolean> current;

	/**
	 * Creates a probe of one start of a target.
	 * @param client client of the target
	 */
	CrashProbe(HttpClient client) {
		this.client = client;
	}

	/**
	 * Opens a connection to the target, unless one is being opened for the same purpose
	 * or the crash is known.
	 * @return whether this start of the target has crashed
	 */
	CompletableFuture<Boolean> hasCrashed() {
		CompletableFuture<Boolean> known = this.current;
		if (known != null && (!known.isDone() || known.join())) {
			return known;
		}
		CompletableFuture<Boolean> started = this.client.connectOutcome().thenApply(ConnectOutcome::provesCrash);
		this.current = started;
		return started;
	}

}
