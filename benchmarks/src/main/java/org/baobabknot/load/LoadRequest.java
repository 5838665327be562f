package org.baobabknot.load;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request to send.
 *
 * @param id identifies the request in the report and, for orders, in the ledger
 * @param kind the group of the request in the report, such as {@code completion}
 * @param method the HTTP method
 * @param path path with the leading slash
 * @param headers headers besides Host and Content-Length
 * @param body the body, empty for none
 * @param check checks whether a response is correct
 */
public record LoadRequest(String id, String kind, String method, String path, Map<String, String> headers, byte[] body,
		ResponseCheck check) {

	/**
	 * Creates a request with a JSON body.
	 * @param id the id of the request
	 * @param kind the group in the report
	 * @param path path with the leading slash
	 * @param json the body
	 * @param check the check of the response
	 * @return a POST request
	 */
	public static LoadRequest post(String id, String kind, String path, String json, ResponseCheck check) {
		return new LoadRequest(id, kind, "POST", path, Map.of("Content-Type", "application/json"),
				json.getBytes(StandardCharsets.UTF_8), check);
	}

	/**
	 * Adds a header.
	 * @param name the name
	 * @param value the value
	 * @return a copy with the header
	 */
	public LoadRequest withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new LoadRequest(this.id, this.kind, this.method, this.path, extended, this.body, this.check);
	}

}
