import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Builds configurations as operators write them. */
final class Config {

	private final long version;

	private final List<Object> routes = new ArrayList<>();

	private final List<Object> services = new ArrayList<>();

	private final List<Object> tenants = new ArrayList<>();

	Config(long version) {
		this.version = version;
	}

	Config route(String prefix, String kind, String service, int timeoutMs, int attempts) {
		return add(prefix, kind, service, timeoutMs, attempts, true, kind.equals("streaming"));
	}

	Config keyedRoute(String prefix, String kind, String service, int timeoutMs, int attempts) {
		return add(prefix, kind, service, timeoutMs, attempts, false, kind.equals("streaming"));
	}

	Config streamThatCannotResume(String prefix, String service, int timeoutMs) {
		return add(prefix, "streaming", service, timeoutMs, 1, true, false);
	}

	private Config add(String prefix, String kind, String service, int timeoutMs, int attempts, boolean anonymous,
			boolean resumable) {
		boolean streaming = kind.equals("streaming");
		Map<String, Object> route = Json.map("name", "r-" + prefix.replace("/", ""), "host", "voka93.example", "prefix",
				prefix, "kind", kind, "timeout_ms", timeoutMs, "goal_ms", 400, "priority", 1, "service", service,
				"max_attempts", attempts, "anonymous", anonymous, "sticky", streaming, "resumable",
				resumable);
		if (streaming) {
			route.put("gap_goal_ms", 300);
		}
		route.put("allowed_regions", List.of());
		this.routes.add(route);
		return this;
	}

	Config tenant(String name, String... keys) {
		this.tenants.add(Json.map("name", name, "api_keys", List.of(keys), "priority", 1, "allowed_regions", List.of()));
		return this;
	}

	Config plainService(String name, int maxConnections, double coldSeconds, double coldPerSecond) {
		this.services.add(Json.map("name", name, "health_path", "/health", "max_conns", maxConnections, "protocol", "h1",
				"tls", false, "cold_s", coldSeconds, "cold_per_s", coldPerSecond));
		return this;
	}

	Config modelService(String name, String model, int slots, int chunks, int chunkBytes, double warmSeconds) {
		Map<String, Object> engine = Json.map("slots", slots, "kv_capacity", 685_000, "kv_token_bytes", 327_680,
				"link_mbps", 400_000.0, "stride", 6, "models",
				List.of(Json.map("name", model, "pace", 1.0, "load_s", 4.0, "warm_s", warmSeconds)), "mb", 297_000.0,
				"step_ms", 7.4, "per_seq_ms", 0.0387, "context_per_k", 0.0203, "read_per_s", 31_900.0, "pairs_per_m",
				0.733, "chunk", 2_048, "report_lag_ms", 200.0, "usual", Json.map("prompt", 972, "answer", 106), "layers",
				16, "layer_mb", 4_540.0, "act_bytes", 16_384, "chunks", chunks, "chunk_bytes", chunkBytes);
		this.services.add(Json.map("name", name, "health_path", "/health", "max_conns", 526, "protocol", "h1", "tls",
				false, "cold_s", 0.0, "cold_per_s", 0.0, "engine", engine));
		return this;
	}

	Config origin(String name, String address, String zone) {
		this.services.add(Json.map("name", name, "origin", address, "zone", zone, "link_mbps", 100.0, "max_conns", 108));
		return this;
	}

	Map<String, Object> json() {
		return Json.map("version", this.version, "routes", this.routes, "services", this.services, "limits",
				Json.map("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 3_000,
						"idle_timeout_ms", 15_000),
				"tenants", this.tenants);
	}

}
