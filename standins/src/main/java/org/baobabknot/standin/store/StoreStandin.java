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
 * The store: versioned values, leases and watches. Further faults: {@code lost_answer}
 * lets a write take effect and closes the connection, {@code silent_watch} leaves watches
 * unanswered. The values survive {@code kill}, as those of a durable store do.
 */
public final class StoreStandin implements Standin {

	private static final int MAX_VALUE_BYTES = 1_000_000;

	private final StoreSettings settings;

	private final Values values = new Values();

	private final Leases leases = new Leases(this.values);

	private final Watches watches = new Watches();

	private final CallCounts counts = new CallCounts();

	private @Nullable StandinServer server;

	private CallRate reads;

	private CallRate writes;

	/**
	 * Creates an empty store.
	 * @param settings the settings
	 */
	public StoreStandin(StoreSettings settings) {
		this.settings = settings;
		this.reads = new CallRate(settings.readsPerSecond(), System.nanoTime());
		this.writes = new CallRate(settings.writesPerSecond(), System.nanoTime());
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

	@Override
	public BodySink open(Call call) {
		return BodySink.whole((body) -> {
			this.leases.expire(System.nanoTime(), this::changed);
			if (call.path().startsWith("/v1/kv/") && call.path().length() > "/v1/kv/".length()) {
				onKey(call, call.path().substring("/v1/kv/".length()), body);
			}
			else if (call.path().startsWith("/v1/lease") && call.method().equals("POST")) {
				onLease(call, body);
			}
			else {
				call.refuse(404, "no such path");
			}
		});
	}

	private void onKey(Call call, String key, byte[] body) {
		switch (call.method()) {
			case "GET" -> {
				boolean watch = call.parameter("wait_ms").isPresent();
				this.counts.add(watch ? "watches" : "reads");
				limited(call, this.reads, () -> get(call, key, watch));
			}
			case "PUT" -> write(call, () -> put(call, key, body));
			case "DELETE" -> write(call, () -> delete(call, key));
			default -> call.refuse(405, "expected GET, PUT or DELETE");
		}
	}

	private void limited(Call call, CallRate rate, Runnable action) {
		if (rate.tryTake(System.nanoTime())) {
			action.run();
		}
		else {
			this.counts.add("limited");
			call.refuse(429, "rate exceeded");
		}
	}

	private void write(Call call, Runnable action) {
		this.counts.add("writes");
		limited(call, this.writes, action);
	}

	private void get(Call call, String key, boolean watch) {
		long above = call.number("above", -1);
		Value value = this.values.find(key);
		if (value != null && value.version() > above) {
			call.answer(200, json(key, value));
		}
		else if (watch) {
			long wait = call.number("wait_ms", 0);
			this.watches.add(key, call, above);
			server().loop().schedule(() -> {
				if (!silent()) {
					this.watches.timeOut(key, call);
				}
			}, wait, TimeUnit.MILLISECONDS);
		}
		else {
			call.refuse(404, "no such key");
		}
	}

	private boolean silent() {
		return server().faults().isOn("silent_watch") || server().faults().isOn("freeze");
	}

	private static ObjectNode json(String key, Value value) {
		return JsonBody.object()
			.put("key", key)
			.put("value", Base64.getEncoder().encodeToString(value.bytes()))
			.put("version", value.version());
	}

	private void put(Call call, String key, byte[] body) {
		String lease = call.parameter("lease").orElse("");
		if (body.length > MAX_VALUE_BYTES) {
			call.refuse(413, "value is longer than " + MAX_VALUE_BYTES + " bytes");
			return;
		}
		if (!lease.isEmpty() && !this.leases.holds(lease)) {
			call.refuse(410, "lease has expired");
			return;
		}
		conditional(call, key, (current) -> this.values.put(key, body, lease));
	}

	private void delete(Call call, String key) {
		conditional(call, key, (current) -> this.values.remove(key));
	}

	private void conditional(Call call, String key, Consumer<Long> action) {
		long current = this.values.version(key);
		long expected = call.parameter("expect")
			.map(Long::parseLong)
			.orElseThrow(() -> new IllegalArgumentException("expect: the expected version is missing"));
		if (current != expected) {
			call.answer(409, JsonBody.object().put("version", current));
			return;
		}
		action.accept(current);
		changed(key);
		if (server().faults().tryStrike("lost_answer")) {
			this.counts.add("lost_answers");
			call.drop();
			return;
		}
		call.answer(200, JsonBody.object().put("version", this.values.version(key)));
	}

	private void changed(String key) {
		Value value = this.values.find(key);
		if (value != null && !silent()) {
			this.watches.wake(key, value.version(), json(key, value));
		}
	}

	private void onLease(Call call, byte[] body) {
		String[] parts = call.path().substring("/v1/lease".length()).split("/");
		this.counts.add("leases");
		limited(call, this.writes, () -> {
			if (parts.length == 3 && parts[2].equals("renew")) {
				this.leases.renew(parts[1], System.nanoTime())
					.ifPresentOrElse((lease) -> call.answer(200, lease), () -> call.refuse(410, "lease has expired"));
			}
			else {
				long ttl = JsonBody.parse(body).path("ttl_ms").asLong(0);
				if (ttl <= 0) {
					throw new IllegalArgumentException("ttl_ms: expected a number above 0");
				}
				call.answer(200, this.leases.grant(ttl, System.nanoTime()));
				server().loop()
					.schedule(() -> this.leases.expire(System.nanoTime(), this::changed), ttl + 1,
							TimeUnit.MILLISECONDS);
			}
		});
	}

	@Override
	public ObjectNode record() {
		ObjectNode node = this.counts.json();
		node.put("pending_watches", this.watches.size());
		node.set("keys", this.values.json());
		return node;
	}

	@Override
	public void kill() {
		this.watches.clear();
		this.reads = new CallRate(this.settings.readsPerSecond(), System.nanoTime());
		this.writes = new CallRate(this.settings.writesPerSecond(), System.nanoTime());
	}

	/**
	 * Returns the number of calls by kind, for use in the same process.
	 * @return a copy
	 */
	public Map<String, Long> calls() {
		return server().ask(this.counts::copy);
	}

}
