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

	/** The attempt after the current one, which may have begun before a later crash. */
	private @Nullable CompletableFuture<Boolean> next;

	/**
	 * Creates a probe of one start of a target.
	 * @param client client of the target
	 */
	CrashProbe(HttpClient client) {
		this.client = client;
	}

	/**
	 * Opens a connection to the target unless its crash is known. The connection is
	 * opened after this call, because an older one says nothing about what was lost
	 * since.
	 * @return whether this start of the target has crashed
	 */
	CompletableFuture<Boolean> hasCrashed() {
		CompletableFuture<Boolean> known = this.current;
		if (known == null || (known.isDone() && !known.join())) {
			return begin();
		}
		if (known.isDone()) {
			return known;
		}
		CompletableFuture<Boolean> waiting = this.next;
		if (waiting == null) {
			waiting = known.thenCompose((crashed) -> {
				this.next = null;
				return (crashed) ? CompletableFuture.completedFuture(true) : begin();
			});
			this.next = waiting;
		}
		return waiting;
	}

	private CompletableFuture<Boolean> begin() {
		CompletableFuture<Boolean> started = this.client.connectOutcome().thenApply(ConnectOutcome::provesCrash);
		this.current = started;
		return started;
	}

}
