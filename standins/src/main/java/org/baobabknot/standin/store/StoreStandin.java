package org.baobabknot.standin.store;

import java.util.Base64;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.BodySink;
import org.baobabknot.standin.Call;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the configuration store: versioned values, leases and watches. Additional
 * faults: {@code lost_answer} applies a write and closes the connection without a
 * response, {@code silent_watch} sends no responses to watches. The values survive
 * {@code kill}, as in a durable store.
 */
public final class StoreStandin implements Standin {

	private static final int MAX_VALUE_BYTES = 1_000_000;

	private final StoreSettings settings;

	private final StoredValues values = new StoredValues();

	private final Leases leases = new Leases(this.values);

	private final Watches watches = new Watches();

	private final CallCounts counts = new CallCounts();

	private @Nullable StandinServer server;

	private CallRateLimiter readLimiter;

	private CallRateLimiter writeLimiter;

	/**
	 * Creates an empty store.
	 * @param settings the settings
	 */
	public StoreStandin(StoreSettings settings) {
		this.settings = settings;
		this.readLimiter = new CallRateLimiter(settings.readsPerSecond(), System.nanoTime());
		this.writeLimiter = new CallRateLimiter(settings.writesPerSecond(), System.nanoTime());
	}

	@Override
	public Set<String> faultKinds() {
		return Set.of("lost_answer", "silent_watch");
	}

	@Override
	public void attach(StandinServer server) {
		this.server = server;
	}

	private StandinServer server() {
		if (this.server == null) {
			throw new IllegalStateException("store is not attached");
		}
		return this.server;
	}

	/**
	 * Takes a copy of the values.
	 * @return restores the values to the copy, without a sign to those who watch them;
	 * versions are given out again
	 */
	public Runnable copy() {
		StoredValues.Copy copy = server().loop().submit(this.values::copy).syncUninterruptibly().getNow();
		return () -> server().loop().submit(() -> this.values.restore(copy)).syncUninterruptibly();
	}

	@Override
	public BodySink handleCall(Call call) {
		return BodySink.collecting((body) -> {
			this.leases.expire(System.nanoTime(), this::onKeyChanged);
			if (call.path().startsWith("/v1/kv/") && call.path().length() > "/v1/kv/".length()) {
				handleKeyCall(call, call.path().substring("/v1/kv/".length()), body);
			}
			else if (call.path().startsWith("/v1/lease") && call.method().equals("POST")) {
				handleLeaseCall(call, body);
			}
			else {
				call.respondWithError(404, "no such path");
			}
		});
	}

	private void handleKeyCall(Call call, String key, byte[] body) {
		switch (call.method()) {
			case "GET" -> {
				boolean watch = call.parameter("wait_ms").isPresent();
				this.counts.increment(watch ? "watches" : "reads");
				runWithinRate(call, this.readLimiter, () -> get(call, key, watch));
			}
			case "PUT" -> write(call, () -> put(call, key, body));
			case "DELETE" -> write(call, () -> delete(call, key));
			default -> call.respondWithError(405, "expected GET, PUT or DELETE");
		}
	}

	private void runWithinRate(Call call, CallRateLimiter limiter, Runnable action) {
		if (limiter.tryAcquire(System.nanoTime())) {
			action.run();
		}
		else {
			this.counts.increment("limited");
			call.respondWithError(429, "rate exceeded");
		}
	}

	private void write(Call call, Runnable action) {
		this.counts.increment("writes");
		runWithinRate(call, this.writeLimiter, action);
	}

	private void get(Call call, String key, boolean watch) {
		long aboveVersion = call.longParameter("above", -1);
		StoredValue value = this.values.find(key);
		if (value != null && value.version() > aboveVersion) {
			call.respond(200, toJson(key, value));
		}
		else if (watch) {
			long wait = call.longParameter("wait_ms", 0);
			this.watches.add(key, call, aboveVersion);
			server().loop().schedule(() -> {
				if (!areWatchesSilent()) {
					this.watches.timeOut(key, call);
				}
			}, wait, TimeUnit.MILLISECONDS);
		}
		else {
			call.respondWithError(404, "no such key");
		}
	}

	private boolean areWatchesSilent() {
		return server().faults().isActive("silent_watch") || server().faults().isActive("freeze");
	}

	private static ObjectNode toJson(String key, StoredValue value) {
		return JsonBody.object()
			.put("key", key)
			.put("value", Base64.getEncoder().encodeToString(value.bytes()))
			.put("version", value.version());
	}

	private void put(Call call, String key, byte[] body) {
		String lease = call.parameter("lease").orElse("");
		if (body.length > MAX_VALUE_BYTES) {
			call.respondWithError(413, "value is longer than " + MAX_VALUE_BYTES + " bytes");
			return;
		}
		if (!lease.isEmpty() && !this.leases.isActive(lease)) {
			call.respondWithError(410, "lease has expired");
			return;
		}
		writeIfVersionMatches(call, key, (current) -> this.values.put(key, body, lease));
	}

	private void delete(Call call, String key) {
		writeIfVersionMatches(call, key, (current) -> this.values.remove(key));
	}

	private void writeIfVersionMatches(Call call, String key, Consumer<Long> action) {
		long current = this.values.version(key);
		long expected = call.parameter("expect")
			.map(Long::parseLong)
			.orElseThrow(() -> new IllegalArgumentException("expect: the expected version is missing"));
		if (current != expected) {
			call.respond(409, JsonBody.object().put("version", current));
			return;
		}
		action.accept(current);
		onKeyChanged(key);
		if (server().faults().tryTrigger("lost_answer")) {
			this.counts.increment("lost_answers");
			call.closeConnection();
			return;
		}
		call.respond(200, JsonBody.object().put("version", this.values.version(key)));
	}

	private void onKeyChanged(String key) {
		StoredValue value = this.values.find(key);
		if (value != null && !areWatchesSilent()) {
			this.watches.notifyChanged(key, value.version(), toJson(key, value));
		}
	}

	private void handleLeaseCall(Call call, byte[] body) {
		String[] parts = call.path().substring("/v1/lease".length()).split("/");
		this.counts.increment("leases");
		runWithinRate(call, this.writeLimiter, () -> {
			if (parts.length == 3 && parts[2].equals("renew")) {
				this.leases.renew(parts[1], System.nanoTime())
					.ifPresentOrElse((lease) -> call.respond(200, lease),
							() -> call.respondWithError(410, "lease has expired"));
			}
			else {
				long ttl = JsonBody.parse(body).path("ttl_ms").asLong(0);
				if (ttl <= 0) {
					throw new IllegalArgumentException("ttl_ms: expected a number above 0");
				}
				call.respond(200, this.leases.grant(ttl, System.nanoTime()));
				server().loop()
					.schedule(() -> this.leases.expire(System.nanoTime(), this::onKeyChanged), ttl + 1,
							TimeUnit.MILLISECONDS);
			}
		});
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = this.counts.toJson();
		node.put("pending_watches", this.watches.size());
		node.set("keys", this.values.writeTimesJson());
		return node;
	}

	@Override
	public void kill() {
		this.watches.clear();
		this.readLimiter = new CallRateLimiter(this.settings.readsPerSecond(), System.nanoTime());
		this.writeLimiter = new CallRateLimiter(this.settings.writesPerSecond(), System.nanoTime());
	}

	/**
	 * Returns the number of calls by kind; for callers in the same process.
	 * @return a copy
	 */
	public Map<String, Long> callCounts() {
		return server().callOnLoop(this.counts::copy);
	}

}
